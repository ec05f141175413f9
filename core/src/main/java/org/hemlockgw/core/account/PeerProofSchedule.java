package org.hemlockgw.core.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Decides when a daemon asks which other daemon for a proof that its configuration is the
 * newest one. Requests are made one at a time.
 */
public final class PeerProofSchedule {

	/**
	 * Age of the own proof, as a fraction of its bound, from which on others are asked.
	 * With long polls of 1.5 s the age is at most 3 s as long as the store answers, below
	 * 0.7 of the bound of 4.5 s.
	 */
	private static final double DUE_FRACTION = 0.7;

	/** As {@link #DUE_FRACTION}, if the store is known to be unavailable. */
	private static final double DUE_FRACTION_WITHOUT_STORE = 0.5;

	/** Shortest interval between two requests; at most three are made per second. */
	private static final long MIN_INTERVAL_NANOS = Duration.ofMillis(334).toNanos();

	/** Longest interval between two requests while no daemon has a proof. */
	private static final long MAX_INTERVAL_NANOS = Duration.ofMillis(2672).toNanos();

	/**
	 * Number of requests in a row without a proof after which the interval grows. If two
	 * of three data centres are unreachable, a proof is found within this number with a
	 * probability of 0.9.
	 */
	private static final int MAX_FREQUENT_REQUESTS = 6;

	/** Time for which a daemon that did not reply is not asked. */
	private static final long FAILURE_BACKOFF_NANOS = Duration.ofSeconds(2).toNanos();

	private final long boundNanos;

	private final SplittableRandom random;

	private final Map<String, Long> failures = new HashMap<>();

	private long nextRequestNanos;

	private long lastRequestNanos;

	private long intervalNanos = MIN_INTERVAL_NANOS;

	private int uselessRequests;

	private boolean pending;

	private String lastPeer = "";

	/**
	 * Creates a schedule.
	 * @param bound age at which a proof expires
	 * @param startNanos time of the first request at the earliest
	 * @param seed seed for the choice of daemons; should differ between daemons
	 */
	public PeerProofSchedule(Duration bound, long startNanos, long seed) {
		this.boundNanos = bound.toNanos();
		this.nextRequestNanos = startNanos;
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Chooses the daemon to ask now.
	 * @param nowNanos monotonic time
	 * @param ageNanos age of the own proof
	 * @param storeUnavailable whether the store is known to be unavailable
	 * @param peers returns the addresses of the other daemons; called only if one is
	 * needed
	 * @return address of a daemon, to which a request must be sent; null to send none
	 */
	public @Nullable String next(long nowNanos, long ageNanos, boolean storeUnavailable,
			Supplier<? extends Collection<String>> peers) {
		double fraction = storeUnavailable ? DUE_FRACTION_WITHOUT_STORE : DUE_FRACTION;
		if (this.pending || ageNanos < this.boundNanos * fraction || nowNanos - this.nextRequestNanos < 0) {
			return null;
		}
		return choose(nowNanos, peers);
	}

	/**
	 * Chooses the daemon to ask now while the configuration in force has no accounts. No
	 * request depends on the proof then, but a newer configuration may have accounts.
	 * @param nowNanos monotonic time
	 * @param ageNanos age of the own proof
	 * @param peers returns the addresses of the other daemons; called only if one is
	 * needed
	 * @return address of a daemon, to which a request must be sent; null to send none
	 */
	public @Nullable String nextWithoutAccounts(long nowNanos, long ageNanos,
			Supplier<? extends Collection<String>> peers) {
		boolean early = nowNanos - this.nextRequestNanos < 0
				|| (!this.lastPeer.isEmpty() && nowNanos - this.lastRequestNanos < this.boundNanos);
		return (this.pending || ageNanos < this.boundNanos || early) ? null : choose(nowNanos, peers);
	}

	private @Nullable String choose(long nowNanos, Supplier<? extends Collection<String>> peers) {
		this.failures.values().removeIf((failure) -> nowNanos - failure > FAILURE_BACKOFF_NANOS);
		List<String> candidates = new ArrayList<>(peers.get());
		if (candidates.size() > 1) {
			candidates.remove(this.lastPeer);
		}
		if (!this.failures.keySet().containsAll(candidates)) {
			candidates.removeAll(this.failures.keySet());
		}
		if (candidates.isEmpty()) {
			return null;
		}
		this.lastPeer = candidates.get(this.random.nextInt(candidates.size()));
		this.pending = true;
		this.lastRequestNanos = nowNanos;
		this.nextRequestNanos = nowNanos + this.intervalNanos;
		return this.lastPeer;
	}

	/**
	 * Records the reply to the last request.
	 * @param useful whether it contained a proof
	 */
	public void replied(boolean useful) {
		this.pending = false;
		if (useful) {
			this.uselessRequests = 0;
			this.intervalNanos = MIN_INTERVAL_NANOS;
			return;
		}
		this.uselessRequests++;
		if (this.uselessRequests >= MAX_FREQUENT_REQUESTS) {
			this.intervalNanos = Math.min(MAX_INTERVAL_NANOS, 2 * this.intervalNanos);
		}
	}

	/**
	 * Records that the last request got no reply.
	 * @param nowNanos monotonic time
	 */
	public void failed(long nowNanos) {
		this.failures.put(this.lastPeer, nowNanos);
		replied(false);
	}

}

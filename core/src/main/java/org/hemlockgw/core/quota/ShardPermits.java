package org.hemlockgw.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.RateLimit;
import org.hemlockgw.core.account.RateLimitBounds;

/**
 * Permits of the client accounts of one shard at one daemon. At most one daemon grants
 * them at the full rate at any time. Times are measured so that an error stops this
 * daemon too early rather than too late.
 */
public final class ShardPermits {

	/**
	 * Time in nanoseconds after the sending of a confirmed join for which a holder may
	 * grant at the full rate, and for which a new holder waits for the previous one.
	 */
	public static final long AUTHORITY_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

	/** Time in nanoseconds for which unused accounts are kept. */
	private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Supplier<ClockReading> clock;

	private final Function<String, @Nullable RateLimit> caps;

	private final RateLimitBounds bounds;

	private final Map<String, AccountPermits> accounts = new HashMap<>();

	private Phase phase = Phase.LOST;

	// The newest confirmed join.
	private ClockReading confirmed;

	private long confirmedGeneration;

	private long acquiredGeneration;

	private long acquiredNanos;

	private boolean hasState;

	private long emptyNanos;

	private long confirmedNanos;

	private long measuredNanos;

	private long lastPermit;

	/**
	 * Creates the permits of a shard that this daemon doesn't hold.
	 * @param clock reads both clocks
	 * @param caps returns the cap of an account by name, or null if it has none
	 * @param bounds accuracy of the caps
	 */
	public ShardPermits(Supplier<ClockReading> clock, Function<String, @Nullable RateLimit> caps,
			RateLimitBounds bounds) {
		this.clock = clock;
		this.caps = caps;
		this.bounds = bounds;
		this.confirmed = clock.get();
	}

	/**
	 * Records a join whose response assigned the shard to this daemon.
	 * @param generation generation of the assignment
	 * @param sent time at which the join was sent
	 * @return whether the shard was acquired, so that the state of its previous holder is
	 * to be requested
	 */
	public boolean confirm(long generation, ClockReading sent) {
		if (generation < this.confirmedGeneration) {
			return false;
		}
		ClockReading now = this.clock.get();
		measure(now);
		removeUnused(now);
		boolean skipped = generation > this.confirmedGeneration + 1;
		boolean continued = this.phase == Phase.STARTED && (!skipped || isRecent(now))
				|| this.phase == Phase.WAITING && !skipped;
		this.confirmedGeneration = generation;
		if (continued) {
			this.confirmed = (sent.nanos() > this.confirmed.nanos()) ? sent : this.confirmed;
			startAfterWait();
			return false;
		}
		// Another daemon may have held the shard between two generations.
		this.phase = Phase.WAITING;
		this.confirmed = sent;
		this.acquiredGeneration = generation;
		this.acquiredNanos = now.nanos();
		return true;
	}

	// No daemon can have started without state between two joins so close to each other.
	private boolean isRecent(ClockReading now) {
		return now.maxElapsedNanos(this.confirmed) < AUTHORITY_NANOS;
	}

	// A join that was sent earlier could have been answered before a join of the previous
	// holder, which would continue.
	private void startAfterWait() {
		long allowedNanos = this.acquiredNanos + AUTHORITY_NANOS;
		if (this.phase == Phase.WAITING && this.confirmed.nanos() - allowedNanos >= 0) {
			start(allowedNanos, allowedNanos);
		}
	}

	/**
	 * Returns the generation in which this daemon acquired the shard.
	 * @return the generation
	 */
	public long acquiredGeneration() {
		return this.acquiredGeneration;
	}

	/**
	 * Returns the time until a join can start this daemon without state.
	 * @return time in nanoseconds, not positive if the next confirming join does
	 */
	public long remainingWaitNanos() {
		return this.acquiredNanos + AUTHORITY_NANOS - this.clock.get().nanos();
	}

	/**
	 * Records that the shard is assigned to another daemon. The state is kept for it.
	 */
	public void lose() {
		this.hasState = this.phase == Phase.STARTED || (this.phase == Phase.LOST && this.hasState);
		this.phase = Phase.LOST;
	}

	/**
	 * Gives up the shard for a new holder, unless this daemon was assigned the shard
	 * later.
	 * @param generation generation in which the new holder acquired the shard
	 * @return the state; null if it is unknown, or if another daemon may have started
	 * without it
	 */
	public @Nullable ShardPermitsState handOver(long generation) {
		if (generation <= this.confirmedGeneration) {
			return null;
		}
		lose();
		ClockReading now = this.clock.get();
		boolean complete = this.hasState && isRecent(now);
		this.hasState = false;
		this.confirmedGeneration = generation;
		if (!complete) {
			return null;
		}
		measure(now);
		List<AccountLevel> levels = new ArrayList<>();
		this.accounts.forEach((name, account) -> {
			account.refill(now.nanos(), 0);
			levels.add(account.state(name));
		});
		return new ShardPermitsState(TimeUnit.NANOSECONDS.toMillis(now.nanos() - this.emptyNanos), levels);
	}

	/**
	 * Continues with the state of the previous holder.
	 * @param generation generation in which this daemon acquired the shard
	 * @param state the state
	 */
	public void previousAnswered(long generation, ShardPermitsState state) {
		if (this.phase != Phase.WAITING || generation != this.acquiredGeneration) {
			return;
		}
		long now = this.clock.get().nanos();
		start(now - TimeUnit.MILLISECONDS.toNanos(state.emptyAgeMs()), now);
		for (AccountLevel level : state.accounts()) {
			RateLimit cap = this.caps.apply(level.account());
			if (cap != null) {
				AccountPermits account = new AccountPermits(cap, this.bounds, this.emptyNanos);
				account.restore(level, now);
				this.accounts.put(level.account(), account);
			}
		}
	}

	/**
	 * Starts with empty buckets because the process of the previous holder has ended.
	 * Waits on if a holder before it may still have authority.
	 * @param generation generation in which this daemon acquired the shard
	 * @param previousGeneration newest generation in which that daemon held the shard
	 * @param heldSinceNanos monotonic time since which it is known to have held it
	 */
	public void previousEnded(long generation, long previousGeneration, long heldSinceNanos) {
		long now = this.clock.get().nanos();
		if (this.phase == Phase.WAITING && generation == this.acquiredGeneration && previousGeneration >= generation - 1
				&& this.confirmed.nanos() - heldSinceNanos >= AUTHORITY_NANOS) {
			start(now, now);
		}
	}

	private void start(long newEmptyNanos, long now) {
		this.phase = Phase.STARTED;
		this.accounts.clear();
		this.emptyNanos = newEmptyNanos;
		this.confirmedNanos = 0;
		this.measuredNanos = now;
	}

	/**
	 * Decides about a request.
	 * @param request the request
	 * @return the decision
	 */
	public PermitDecision decide(PermitRequest request) {
		ClockReading now = this.clock.get();
		measure(now);
		if (this.phase != Phase.STARTED) {
			return PermitDecision.NOT_READY;
		}
		RateLimit cap = this.caps.apply(request.account());
		if (cap == null) {
			this.accounts.remove(request.account());
			return PermitDecision.UNLIMITED;
		}
		AccountPermits account = this.accounts.computeIfAbsent(request.account(),
				(name) -> new AccountPermits(cap, this.bounds, this.emptyNanos));
		account.refill(now.nanos(), this.confirmedNanos / 1e9);
		account.changeCap(cap);
		long unconfirmedNanos = now.maxElapsedNanos(this.confirmed) - AUTHORITY_NANOS;
		long permit = this.lastPermit + 1;
		PermitDecision decision = (unconfirmedNanos < 0) ? account.decide(request, permit)
				: account.decideUnconfirmed(request, permit, unconfirmedNanos / 1e9);
		this.lastPermit += (decision.permit() != 0) ? 1 : 0;
		return decision;
	}

	/**
	 * Credits a permit whose request has not run and never will.
	 * @param account name of the account
	 * @param permit identifier of the permit
	 * @return whether the permit was credited
	 */
	public boolean giveBack(String account, long permit) {
		AccountPermits found = this.accounts.get(account);
		ClockReading now = this.clock.get();
		if (found == null || !isConfirmed(now)) {
			return false;
		}
		measure(now);
		found.refill(now.nanos(), this.confirmedNanos / 1e9);
		return found.giveBack(permit);
	}

	private boolean isConfirmed(ClockReading now) {
		return this.phase == Phase.STARTED && isRecent(now);
	}

	// Adds the time with authority since the last call.
	private void measure(ClockReading now) {
		long end = Math.min(now.nanos(), this.confirmed.nanos() + AUTHORITY_NANOS);
		if (this.phase == Phase.STARTED) {
			this.confirmedNanos += Math.max(0, end - this.measuredNanos);
		}
		this.measuredNanos = Math.max(this.measuredNanos, now.nanos());
	}

	private void removeUnused(ClockReading now) {
		if (this.phase == Phase.STARTED) {
			this.accounts.values().removeIf((account) -> account.isUnused(now.nanos(), IDLE_NANOS));
		}
	}

	/**
	 * Returns what this daemon may do at present.
	 * @return the state
	 */
	public HolderState state() {
		ClockReading now = this.clock.get();
		return switch (this.phase) {
			case LOST -> HolderState.NOT_HOLDER;
			case WAITING -> HolderState.WAITING;
			case STARTED -> isConfirmed(now) ? HolderState.CONFIRMED : HolderState.UNCONFIRMED;
		};
	}

	private enum Phase {

		LOST, WAITING, STARTED

	}

}

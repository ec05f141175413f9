package org.hemlockgw.gateway.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Other daemons that this one has seen lately, and which of them to ask.
 */
final class KnownMembers {

	/**
	 * Time in milliseconds for which a daemon that did not reply is left out: about a
	 * restart.
	 */
	private static final long AVOID_MS = 2000;

	/** Time in seconds after which a daemon that holds no shard is asked no longer. */
	private static final long FORGET_S = 120;

	/**
	 * Time in milliseconds in which daemons return after the store was away; members that
	 * don't are removed after two seconds.
	 */
	static final long RETURN_MS = 2000;

	private final MemberName self;

	private final LongSupplier nanoClock;

	// By address: a daemon that was restarted has another name at the same one.
	private final Map<String, Seen> seen = new HashMap<>();

	private final Map<String, Long> failedNanos = new HashMap<>();

	private @Nullable Long firstSeenNanos;

	private int turn;

	KnownMembers(MemberName self, LongSupplier nanoClock) {
		this.self = self;
		this.nanoClock = nanoClock;
	}

	void recordSeen(Collection<MemberName> members) {
		long now = this.nanoClock.getAsLong();
		if (this.firstSeenNanos == null) {
			this.firstSeenNanos = now;
		}
		members.forEach((member) -> this.seen.put(member.peerAddress(), new Seen(member, now)));
		this.seen.remove(this.self.peerAddress());
		this.seen.values().removeIf((member) -> now - member.nanos() > TimeUnit.SECONDS.toNanos(FORGET_S));
	}

	void recordFailure(MemberName member) {
		this.failedNanos.put(member.peerAddress(), this.nanoClock.getAsLong());
	}

	List<MemberName> all() {
		return this.seen.values().stream().map(Seen::member).toList();
	}

	/**
	 * Tells whether all daemons that were there lately are known. A daemon that starts
	 * while the store is away learns of the others when they return.
	 * @return whether they are
	 */
	boolean isComplete() {
		return this.firstSeenNanos != null
				&& this.nanoClock.getAsLong() - this.firstSeenNanos > TimeUnit.MILLISECONDS.toNanos(RETURN_MS);
	}

	/**
	 * Chooses daemons, others with each call, in other data centres as far as there are
	 * any.
	 * @param count how many are wanted
	 * @return daemons; fewer if no more are reachable
	 */
	List<MemberName> choose(int count) {
		List<MemberName> reachable = reachable();
		Map<String, MemberName> elsewhere = new LinkedHashMap<>();
		for (MemberName member : reachable) {
			if (!member.dataCentre().equals(this.self.dataCentre())) {
				elsewhere.putIfAbsent(member.dataCentre(), member);
			}
		}
		List<MemberName> chosen = new ArrayList<>(elsewhere.values());
		for (MemberName member : reachable) {
			if (!chosen.contains(member)) {
				chosen.add(member);
			}
		}
		return chosen.subList(0, Math.min(count, chosen.size()));
	}

	// Daemons that did not reply lately count only if there are no others.
	private List<MemberName> reachable() {
		long now = this.nanoClock.getAsLong();
		this.failedNanos.values().removeIf((since) -> now - since > TimeUnit.MILLISECONDS.toNanos(AVOID_MS));
		List<MemberName> found = new ArrayList<>(all());
		found.removeIf((member) -> this.failedNanos.containsKey(member.peerAddress()));
		if (found.isEmpty()) {
			found.addAll(all());
		}
		this.turn++;
		Collections.rotate(found, this.turn);
		return found;
	}

	private record Seen(MemberName member, long nanos) {

	}

}

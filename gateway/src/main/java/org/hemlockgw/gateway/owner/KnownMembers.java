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

/**
 * Tracks the other daemons that held shards recently and selects those to send requests
 * to.
 */
final class KnownMembers {

	/**
	 * Time in milliseconds for which a daemon that did not reply is not selected: about
	 * the duration of a restart.
	 */
	private static final long FAILURE_BACKOFF_MS = 2000;

	/** Time in seconds after which a daemon that no longer holds a shard is removed. */
	private static final long EXPIRY_S = 120;

	private final MemberName self;

	private final LongSupplier nanoClock;

	// Keyed by address, because a restarted daemon has a new name at the same address.
	private final Map<String, Entry> byAddress = new HashMap<>();

	private final Map<String, Long> failureNanos = new HashMap<>();

	private int rotation;

	KnownMembers(MemberName self, LongSupplier nanoClock) {
		this.self = self;
		this.nanoClock = nanoClock;
	}

	void recordSeen(Collection<MemberName> members) {
		long now = this.nanoClock.getAsLong();
		members.forEach((member) -> this.byAddress.put(member.peerAddress(), new Entry(member, now)));
		this.byAddress.remove(this.self.peerAddress());
		this.byAddress.values().removeIf((entry) -> now - entry.seenNanos() > TimeUnit.SECONDS.toNanos(EXPIRY_S));
	}

	void recordFailure(MemberName member) {
		this.failureNanos.put(member.peerAddress(), this.nanoClock.getAsLong());
	}

	List<MemberName> all() {
		return this.byAddress.values().stream().map(Entry::member).toList();
	}

	/**
	 * Selects daemons, preferring one from each other data centre. Successive calls
	 * rotate through the known daemons.
	 * @param count number of daemons to select
	 * @return the selected daemons; fewer than {@code count} if no more are available
	 */
	List<MemberName> choose(int count) {
		List<MemberName> candidates = candidates();
		Map<String, MemberName> byDataCentre = new LinkedHashMap<>();
		for (MemberName member : candidates) {
			if (!member.dataCentre().equals(this.self.dataCentre())) {
				byDataCentre.putIfAbsent(member.dataCentre(), member);
			}
		}
		List<MemberName> chosen = new ArrayList<>(byDataCentre.values());
		for (MemberName member : candidates) {
			if (!chosen.contains(member)) {
				chosen.add(member);
			}
		}
		return chosen.subList(0, Math.min(count, chosen.size()));
	}

	// Daemons that recently failed to reply are included only if there are no others.
	private List<MemberName> candidates() {
		long now = this.nanoClock.getAsLong();
		this.failureNanos.values()
			.removeIf((failure) -> now - failure > TimeUnit.MILLISECONDS.toNanos(FAILURE_BACKOFF_MS));
		List<MemberName> available = new ArrayList<>(all());
		available.removeIf((member) -> this.failureNanos.containsKey(member.peerAddress()));
		if (available.isEmpty()) {
			available.addAll(all());
		}
		this.rotation++;
		Collections.rotate(available, this.rotation);
		return available;
	}

	private record Entry(MemberName member, long seenNanos) {

	}

}

package org.hemlockgw.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Servers of a pool; selects one for each request. Not thread-safe.
 */
final class PoolServers {

	/**
	 * Fraction of the slots of a pool that must be free for new programs to be taken
	 * regardless of how long others waited before.
	 */
	private static final double SPARE_SLOTS_FRACTION = 0.2;

	private final Map<String, PoolServer> byId = new HashMap<>();

	/**
	 * Replaces the list of servers. A server that was started again is a new one.
	 * @param members servers of the pool
	 */
	void update(List<PoolMember> members) {
		Set<String> memberIds = new HashSet<>();
		for (PoolMember member : members) {
			memberIds.add(member.id());
			PoolServer existing = this.byId.get(member.id());
			if (existing == null || existing.member().startedAtMs() != member.startedAtMs()) {
				this.byId.put(member.id(), new PoolServer(member));
			}
			else {
				existing.setMember(member);
			}
		}
		this.byId.keySet().retainAll(memberIds);
	}

	@Nullable PoolServer find(String id) {
		return this.byId.get(id);
	}

	/**
	 * Returns the number of slots of all servers that are not draining.
	 * @return number of slots
	 */
	long slotCount() {
		long slots = 0;
		for (PoolServer server : this.byId.values()) {
			slots += server.member().draining() ? 0 : server.member().slots();
		}
		return slots;
	}

	boolean hasAvailable(Set<String> excluded) {
		return this.byId.values()
			.stream()
			.anyMatch((server) -> !server.member().draining() && !excluded.contains(server.member().id()));
	}

	boolean hasFreeSlot() {
		return this.byId.values().stream().anyMatch(PoolServer::hasFreeSlot);
	}

	/**
	 * Returns whether so many slots are free that new programs cannot harm others.
	 * @return whether the pool has spare slots
	 */
	boolean hasSpareSlots() {
		long slots = slotCount();
		int inFlight = 0;
		for (PoolServer server : this.byId.values()) {
			inFlight += server.member().draining() ? 0 : server.inFlight();
		}
		return slots - inFlight > SPARE_SLOTS_FRACTION * slots;
	}

	/**
	 * Selects the server with a free slot that is expected to complete a request first.
	 * @param request the request
	 * @param averageDurationMs average duration of a request of the pool in milliseconds
	 * @param nowNanos current time
	 * @return the server, or null if no server has a free slot for the request
	 */
	@Nullable PoolServer select(SlotRequest request, double averageDurationMs, long nowNanos) {
		PoolServer selected = null;
		double lowestCost = Double.MAX_VALUE;
		double averageMsPerUnit = averageMsPerUnit();
		for (PoolServer server : this.byId.values()) {
			if (!server.hasFreeSlot() || request.excluded().contains(server.member().id())) {
				continue;
			}
			double cost = server.estimateMs(request, averageDurationMs, averageMsPerUnit);
			if (server.isAvoided(nowNanos)) {
				cost += 10 * averageDurationMs;
			}
			if (cost < lowestCost) {
				selected = server;
				lowestCost = cost;
			}
		}
		return selected;
	}

	private double averageMsPerUnit() {
		double sum = 0;
		int count = 0;
		for (PoolServer server : this.byId.values()) {
			if (!Double.isNaN(server.msPerUnit())) {
				sum += server.msPerUnit();
				count++;
			}
		}
		return (count == 0) ? 0 : sum / count;
	}

}

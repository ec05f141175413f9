package org.hemlockgw.core.pool;

import java.util.Comparator;
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

	private final ServerChoice choice = new ServerChoice();

	// In a fixed order, so that decisions can be reproduced.
	private List<PoolServer> servers = List.of();

	// Totals of the servers that are not draining, kept because each request needs them.
	private long availableCount;

	private long slotCount;

	private long freeSlots;

	private long inFlight;

	private long runningTokens;

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
		this.servers = this.byId.values()
			.stream()
			.sorted(Comparator.comparing((server) -> server.member().id()))
			.toList();
		this.availableCount = 0;
		this.slotCount = 0;
		this.freeSlots = 0;
		this.inFlight = 0;
		this.runningTokens = 0;
		for (PoolServer server : this.servers) {
			if (!server.member().draining()) {
				this.availableCount++;
				this.slotCount += server.member().slots();
			}
			addToTotals(server, 1);
		}
		this.choice.update(this.servers, this.slotCount);
	}

	private void addToTotals(PoolServer server, int sign) {
		if (!server.member().draining() && this.byId.get(server.member().id()) == server) {
			this.freeSlots += sign * server.freeSlots();
			this.inFlight += sign * server.inFlight();
			this.runningTokens += sign * server.runningTokens();
		}
	}

	@Nullable PoolServer find(String id) {
		return this.byId.get(id);
	}

	/**
	 * Returns the number of slots of all servers that are not draining.
	 * @return number of slots
	 */
	long slotCount() {
		return this.slotCount;
	}

	boolean hasAvailable(Set<String> excluded) {
		if (excluded.isEmpty()) {
			return this.availableCount > 0;
		}
		return this.servers.stream()
			.anyMatch((server) -> !server.member().draining() && !excluded.contains(server.member().id()));
	}

	boolean hasFreeSlot() {
		return this.freeSlots > 0;
	}

	/**
	 * Returns whether so many slots and so much memory are free that new programs cannot
	 * harm others.
	 * @return whether the pool has spare slots
	 */
	boolean hasSpareSlots() {
		long memoryTokens = this.availableCount * this.choice.memoryTokens();
		boolean spareMemory = memoryTokens == 0
				|| memoryTokens - this.runningTokens > SPARE_SLOTS_FRACTION * memoryTokens;
		return spareMemory && this.slotCount - this.inFlight > SPARE_SLOTS_FRACTION * this.slotCount;
	}

	/**
	 * Selects the server at which a request is placed.
	 * @param request the request
	 * @param averageDurationMs average duration of a request of the pool in milliseconds
	 * @param nowNanos current time
	 * @return null if no server has a free slot and memory for the request
	 */
	@Nullable PoolServer select(SlotRequest request, double averageDurationMs, long nowNanos) {
		return this.choice.select(this.servers, request, averageDurationMs, nowNanos);
	}

	/**
	 * Returns the server that is closest to having memory for a request.
	 * @param request the request
	 * @return null if the memory is unknown or no server is available
	 */
	@Nullable PoolServer findLeastOccupied(SlotRequest request) {
		if (this.choice.memoryTokens() == 0) {
			return null;
		}
		return this.servers.stream()
			.filter((server) -> !server.member().draining() && !request.excluded().contains(server.member().id()))
			.min(Comparator.comparingLong(PoolServer::runningTokens))
			.orElse(null);
	}

	/**
	 * Places a request at a server.
	 * @param server the server
	 * @param request the request
	 * @param nowNanos current time
	 * @return whether the server has run the previous request of the same session
	 */
	boolean occupy(PoolServer server, SlotRequest request, long nowNanos) {
		String homeId = this.choice.findHome(request);
		PoolServer home = (homeId != null) ? this.byId.get(homeId) : null;
		this.choice.recordPlacement(server, home, request, nowNanos);
		addToTotals(server, -1);
		server.occupy(request, this.choice.memoryTokens());
		addToTotals(server, 1);
		return server == home;
	}

	/**
	 * Releases a slot and learns from the response.
	 * @param server the server
	 * @param request the request that held the slot
	 * @param warm result of {@link #occupy}
	 * @param timing timing of the response
	 * @param durationMs time in milliseconds for which the slot was held
	 * @param nowNanos current time
	 */
	void release(PoolServer server, SlotRequest request, boolean warm, ResponseTiming timing, double durationMs,
			long nowNanos) {
		addToTotals(server, -1);
		PoolServer.Occupation occupation = server.release(request.id());
		addToTotals(server, 1);
		if (occupation != null && timing.units() > 0) {
			server.recordTiming(occupation, timing, durationMs, nowNanos);
			this.choice.recordResponse(server, request, warm, timing);
		}
	}

	void setMemoryTokens(int tokens) {
		this.choice.setMemoryTokens(tokens);
	}

	PlacementStatistics statistics() {
		return this.choice.statistics();
	}

	/**
	 * Returns the highest number of recent requests of a server relative to its share.
	 * @return 1 if all servers receive what their weights justify
	 */
	double highestExcess() {
		return this.choice.highestExcess(this.servers);
	}

}

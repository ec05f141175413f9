package org.hemlockgw.core.pool;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.RendezvousHash;
import org.hemlockgw.core.common.StableHash;

/**
 * Chooses a server for each request: the one that is expected to complete it first, and
 * among about equal ones the session's own or the one with the highest score by weighted
 * rendezvous hashing. Not thread-safe.
 */
final class ServerChoice {

	/**
	 * Difference up to which two servers count as equal for a session, as a fraction of
	 * the expected time. It corresponds to three more requests at the server, so that
	 * servers of different sizes can be equally used.
	 */
	private static final double SESSION_TOLERANCE = 0.1;

	/** Same for a request that belongs to no session. */
	private static final double TOLERANCE = 0.005;

	/**
	 * Saving from which a session leaves its server, as a fraction of the expected time.
	 * Smaller differences are within the error of the estimate.
	 */
	private static final double KEEP_MARGIN = 0.25;

	/**
	 * Time that each other request at the server loses by a millisecond of reading a
	 * prompt, which is interleaved with their steps. With 0.2 instead of 1 twice as many
	 * tokens were read again and fewer programs ended in time (docs/policy.md).
	 */
	private static final double PREFILL_INTERFERENCE = 1;

	/** Cost of the deviation from a server's share, as a factor. */
	private static final double EXCESS_COST = 6;

	/** Maximum extra cost, so that shares never outweigh a much faster response. */
	private static final double MAX_EXCESS_COST = 0.3;

	/**
	 * Maximum gain of a server for its requests below its share. It balances the longer
	 * steps of large servers, which run more requests at once.
	 */
	private static final double MAX_DEFICIT_GAIN = 0.1;

	/**
	 * Time in milliseconds that a new connection takes: a round trip between data centres
	 * and the work of the server.
	 */
	private static final double CONNECT_MS = 4;

	/** Cost of an avoided server, in durations of a request. */
	private static final double AVOIDED_COST = 10;

	/** Cost of returning too early, in durations of a request; more than all others. */
	private static final double RETURN_COST = 1000;

	private final PoolSpeed poolSpeed = new PoolSpeed();

	private final RequestShares shares = new RequestShares();

	private final SessionDirectory sessions = new SessionDirectory();

	private final PlacementStatistics statistics = new PlacementStatistics();

	private double[] costs = new double[0];

	private int memoryTokens;

	void setMemoryTokens(int tokens) {
		this.memoryTokens = tokens;
	}

	int memoryTokens() {
		return this.memoryTokens;
	}

	PlacementStatistics statistics() {
		return this.statistics;
	}

	double highestExcess(List<PoolServer> servers) {
		return this.shares.highestExcess(servers);
	}

	/**
	 * Adapts to a changed list of servers.
	 * @param servers all servers
	 * @param slots number of slots of the pool
	 */
	void update(List<PoolServer> servers, long slots) {
		this.costs = new double[servers.size()];
		this.sessions.setSlots(slots);
		this.shares.update(servers);
	}

	/**
	 * Chooses a server.
	 * @param servers all servers
	 * @param request the request
	 * @param averageDurationMs average duration of a request of the pool in milliseconds
	 * @param nowNanos current time
	 * @return null if no server has a free slot and memory for the request
	 */
	@Nullable PoolServer select(List<PoolServer> servers, SlotRequest request, double averageDurationMs, long nowNanos) {
		refresh(servers, nowNanos);
		String key = SessionDirectory.key(request);
		SessionPlacement session = this.sessions.find(key);
		long promptTokens = PoolServer.countTokens(request.prompt());
		long neededTokens = promptTokens + Math.max(0, request.maxTokens());
		double units = this.poolSpeed.expectedUnits(request);
		double lowest = Double.MAX_VALUE;
		double lowestToMove = Double.MAX_VALUE;
		double homeCost = Double.MAX_VALUE;
		PoolServer home = null;
		for (int i = 0; i < servers.size(); i++) {
			PoolServer server = servers.get(i);
			this.costs[i] = Double.MAX_VALUE;
			if (!server.hasFreeSlot() || !server.isOpenTo(request.id())
					|| request.excluded().contains(server.member().id())
					|| !server.hasMemory(neededTokens, this.memoryTokens)) {
				continue;
			}
			boolean own = session != null && session.server().equals(server.member().id());
			double cost = expectedMs(server, request, own, units, promptTokens, averageDurationMs);
			if (server.isAvoided(nowNanos)) {
				cost += AVOIDED_COST * averageDurationMs;
			}
			if (own) {
				home = server;
				homeCost = cost;
			}
			else if (session != null && session.isReturnTooEarly(server.member().id(), nowNanos)) {
				cost += RETURN_COST * averageDurationMs;
			}
			double shareCost = shareCost(server);
			this.costs[i] = cost * (1 + shareCost);
			lowest = Math.min(lowest, this.costs[i]);
			lowestToMove = Math.min(lowestToMove, cost * (1 + Math.max(0, shareCost)));
		}
		if (home != null && homeCost <= lowestToMove * (1 + KEEP_MARGIN)) {
			return home;
		}
		return (lowest == Double.MAX_VALUE) ? null : firstChoice(servers, key, request, lowest);
	}

	private void refresh(List<PoolServer> servers, long nowNanos) {
		if (this.poolSpeed.refreshIfDue(servers, nowNanos)) {
			this.shares.advance(servers, nowNanos);
			this.shares.update(servers);
		}
	}

	private PoolServer firstChoice(List<PoolServer> servers, String key, SlotRequest request, double lowest) {
		boolean hasSession = !key.isEmpty();
		long keyHash = StableHash.of(hasSession ? key : request.id());
		double limit = lowest * (1 + (hasSession ? SESSION_TOLERANCE : TOLERANCE));
		PoolServer selected = servers.get(0);
		double highestScore = -1;
		for (int i = 0; i < servers.size(); i++) {
			if (this.costs[i] <= limit) {
				PoolServer server = servers.get(i);
				double score = RendezvousHash.score(keyHash, server.hash(), server.weight());
				if (score > highestScore) {
					selected = server;
					highestScore = score;
				}
			}
		}
		return selected;
	}

	private double shareCost(PoolServer server) {
		double excess = this.shares.excess(server) - 1;
		return Math.max(-MAX_DEFICIT_GAIN, Math.min(MAX_EXCESS_COST, EXCESS_COST * excess));
	}

	private double expectedMs(PoolServer server, SlotRequest request, boolean own, double units, long promptTokens,
			double averageDurationMs) {
		ServerSpeed speed = server.speed();
		double stepMs = Double.isNaN(speed.stepMs()) ? this.poolSpeed.stepMs() : speed.stepMs();
		double generationMs = (Double.isNaN(stepMs) ? averageDurationMs : units * stepMs) * server.loadFactor();
		double connectMs = request.connected().contains(server.member().id()) ? 0 : CONNECT_MS;
		if (request.prompt().isEmpty()) {
			return generationMs * (own ? 1 - this.poolSpeed.affinityGain() : 1) + connectMs;
		}
		double prefillMs = Double.isNaN(speed.prefillMs()) ? this.poolSpeed.prefillMs() : speed.prefillMs();
		double readingMs = (promptTokens - server.cachedTokens(request.prompt())) * prefillMs;
		return generationMs + readingMs * (1 + PREFILL_INTERFERENCE * server.inFlight()) + connectMs;
	}

	/**
	 * Records that a request is placed.
	 * @param server the selected server
	 * @param home server on which the session was before; null if it is not listed
	 * @param request the request
	 * @param nowNanos current time
	 */
	void recordPlacement(PoolServer server, @Nullable PoolServer home, SlotRequest request, long nowNanos) {
		if (isReassigned(request, server)) {
			this.statistics.countReassignment(findCause(home, request, nowNanos));
		}
		this.sessions.place(SessionDirectory.key(request), server.member().id(), nowNanos);
		this.statistics.countPrompt(request.prompt(), server.uncachedTokens(request.prompt()));
		this.shares.count(server);
	}

	/**
	 * Returns the server on which the session of a request is placed.
	 * @param request the request
	 * @return identifier of the server; null if none is known
	 */
	@Nullable String findHome(SlotRequest request) {
		SessionPlacement session = this.sessions.find(SessionDirectory.key(request));
		return (session != null) ? session.server() : null;
	}

	private boolean isReassigned(SlotRequest request, PoolServer server) {
		String home = findHome(request);
		return home != null && !home.equals(server.member().id());
	}

	private ReassignmentCause findCause(@Nullable PoolServer home, SlotRequest request, long nowNanos) {
		if (home == null || home.member().draining() || request.excluded().contains(home.member().id())) {
			return ReassignmentCause.SERVER_UNAVAILABLE;
		}
		if (home.isAvoided(nowNanos)) {
			return ReassignmentCause.AVOIDED;
		}
		if (!home.hasFreeSlot()) {
			return ReassignmentCause.NO_SLOT;
		}
		long neededTokens = PoolServer.countTokens(request.prompt()) + Math.max(0, request.maxTokens());
		return home.hasMemory(neededTokens, this.memoryTokens) ? ReassignmentCause.FASTER_SERVER
				: ReassignmentCause.NO_MEMORY;
	}

	/**
	 * Learns from a response.
	 * @param server the server
	 * @param request the request
	 * @param warm whether the server had handled the session before
	 * @param timing timing of the response
	 */
	void recordResponse(PoolServer server, SlotRequest request, boolean warm, ResponseTiming timing) {
		this.poolSpeed.recordResponse(request, timing.units());
		double usualMs = server.speed().medianStepMs();
		if (request.prompt().isEmpty() && !request.session().isEmpty() && timing.firstEventMicros() > 0
				&& usualMs > 0) {
			this.poolSpeed.recordAffinity(warm, timing.firstEventMicros() / usualMs);
		}
	}

}

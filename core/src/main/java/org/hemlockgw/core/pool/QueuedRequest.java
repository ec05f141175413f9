package org.hemlockgw.core.pool;

import java.util.function.Consumer;

/**
 * Request that waits for a slot. All times are on the scheduler's monotonic clock.
 *
 * @param request the request
 * @param answer callback for the decision
 * @param sequence position in the order of arrival
 * @param enqueuedAtNanos time of arrival
 * @param expiresAtNanos time at which the request is refused
 * @param lateAtNanos time from which the program can't meet its objective;
 * {@link Long#MAX_VALUE} if it has none
 * @param slackEndNanos time at which the expected slack of the program is used up;
 * {@link Long#MAX_VALUE} if it has no objective
 * @param costMs expected time in a slot in milliseconds
 */
record QueuedRequest(SlotRequest request, Consumer<SlotDecision> answer, long sequence, long enqueuedAtNanos,
		long expiresAtNanos, long lateAtNanos, long slackEndNanos, double costMs) {

	private static final long NANOS_PER_MS = 1_000_000;

	/**
	 * Creates an entry for a request that arrives.
	 * @param request the request
	 * @param answer callback for the decision
	 * @param sequence position in the order of arrival
	 * @param nowNanos current time
	 * @param programs programs under way with the profiles of their routes
	 * @param averageDurationMs time in a slot on a route without a profile in
	 * milliseconds
	 * @return the entry
	 */
	static QueuedRequest create(SlotRequest request, Consumer<SlotDecision> answer, long sequence, long nowNanos,
			ProgramsUnderWay programs, double averageDurationMs) {
		RouteProfile profile = programs.profile(request.route());
		long lateAt = Long.MAX_VALUE;
		long slackEnd = Long.MAX_VALUE;
		if (request.programRemainingMs() != Long.MAX_VALUE) {
			long objectiveEnd = nowNanos + request.programRemainingMs() * NANOS_PER_MS;
			lateAt = objectiveEnd - Math.round(profile.turnMs() * NANOS_PER_MS);
			slackEnd = objectiveEnd - Math.round(profile.remainingMs(programs.turnsDone(request)) * NANOS_PER_MS);
		}
		double costMs = (profile.turnMs() > 0) ? profile.turnMs() : averageDurationMs;
		return new QueuedRequest(request, answer, sequence, nowNanos, nowNanos + request.maxWaitMs() * NANOS_PER_MS,
				lateAt, slackEnd, costMs);
	}

}

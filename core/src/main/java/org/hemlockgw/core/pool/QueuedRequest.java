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
}

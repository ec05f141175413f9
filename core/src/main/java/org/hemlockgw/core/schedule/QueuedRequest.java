package org.hemlockgw.core.schedule;

import java.time.Instant;

/**
 * A request in an engine's queue.
 *
 * @param <T> type of the payload
 * @param account client account
 * @param attainedTokens tokens that the program has been served so far
 * @param costTokens estimated tokens of work: uncached prompt and expected answer
 * @param enqueuedAt arrival time
 * @param suspect whether an engine has died under this content
 * @param payload what to start when the request's turn comes
 */
public record QueuedRequest<T>(String account, long attainedTokens, long costTokens, Instant enqueuedAt,
		boolean suspect, T payload) {
}

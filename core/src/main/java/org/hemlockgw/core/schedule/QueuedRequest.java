package org.hemlockgw.core.schedule;

import java.time.Instant;

/**
 * Request in the queue of an engine.
 *
 * @param <T> type of the payload
 * @param account client account
 * @param attainedTokens tokens with which the program has been served so far
 * @param costTokens estimated work in tokens: uncached prompt and expected response
 * @param enqueuedAt arrival time
 * @param suspect whether an engine has crashed while processing this content
 * @param payload data needed to start the request
 */
public record QueuedRequest<T>(String account, long attainedTokens, long costTokens, Instant enqueuedAt,
		boolean suspect, T payload) {
}

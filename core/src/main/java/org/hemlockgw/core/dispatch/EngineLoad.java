package org.hemlockgw.core.dispatch;

import java.time.Instant;

/**
 * Load of one engine, as reported by its dispatcher.
 *
 * @param engine name of the backend server
 * @param queued number of requests in the queue of the dispatcher
 * @param inFlight number of requests on the engine
 * @param inFlightLimit maximum number of requests that the dispatcher sends to the engine
 * at the same time
 * @param queuedTokens estimated tokens of work, queued and in flight
 * @param prefillTokensPerSecond estimated prefill speed
 * @param decodeTokensPerSecond estimated decoding speed, summed over the batch
 * @param observedAt time of the observation
 */
public record EngineLoad(String engine, int queued, int inFlight, int inFlightLimit, long queuedTokens,
		double prefillTokensPerSecond, double decodeTokensPerSecond, Instant observedAt) {
}

package org.hemlockgw.core.dispatch;

import java.time.Instant;

/**
 * Load of one engine as known by its dispatcher.
 *
 * @param engine name of the backend server
 * @param queued requests in the dispatcher's queue
 * @param inFlight requests on the engine
 * @param inFlightLimit most requests that the dispatcher puts on the engine
 * @param queuedTokens estimated tokens of work in the queue and in flight
 * @param prefillTokensPerSecond learned speed of prefill
 * @param decodeTokensPerSecond learned speed of decoding for the whole batch
 * @param observedAt when this was known
 */
public record EngineLoad(String engine, int queued, int inFlight, int inFlightLimit, long queuedTokens,
		double prefillTokensPerSecond, double decodeTokensPerSecond, Instant observedAt) {
}

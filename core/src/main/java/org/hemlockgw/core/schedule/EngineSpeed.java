package org.hemlockgw.core.schedule;

import java.time.Duration;

/**
 * Speed of an engine, estimated from finished requests.
 *
 * @param prefillTokensPerSecond uncached prompt tokens per second
 * @param decodeTokensPerSecond generated tokens per second, summed over the batch
 * @param observations number of finished requests that contributed
 */
public record EngineSpeed(double prefillTokensPerSecond, double decodeTokensPerSecond, int observations) {

	/**
	 * Initial estimate for an engine without observations. It is higher than the speed of
	 * any real engine, so that every new engine is tried; with a pessimistic estimate
	 * fast engines remained unused.
	 */
	public static final EngineSpeed INITIAL = new EngineSpeed(200_000, 20_000, 0);

	/**
	 * Minimum weight of a new observation. With this weight a slowdown of an engine is
	 * detected within about 10 requests.
	 */
	private static final double MIN_SAMPLE_WEIGHT = 0.2;

	/**
	 * Minimum number of uncached prompt tokens for an observation of the prefill speed.
	 * The duration of shorter prefills is dominated by fixed delays.
	 */
	private static final long MIN_PREFILL_TOKENS = 64;

	private static final long MIN_DECODE_TOKENS = 8;

	/**
	 * Returns an estimate that includes a finished request.
	 * @param uncachedTokens prompt tokens that were computed
	 * @param timeToFirstToken time from sending the request to the first token
	 * @param generatedTokens number of tokens after the first one
	 * @param decodeTime time from the first token to the last one
	 * @param inFlight number of requests on the engine
	 * @return the new estimate
	 */
	public EngineSpeed observe(long uncachedTokens, Duration timeToFirstToken, long generatedTokens,
			Duration decodeTime, int inFlight) {
		double sampleWeight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / (this.observations + 1));
		double prefillSpeed = this.prefillTokensPerSecond;
		double decodeSpeed = this.decodeTokensPerSecond;
		if (uncachedTokens >= MIN_PREFILL_TOKENS && timeToFirstToken.toNanos() > 0) {
			prefillSpeed += sampleWeight * (uncachedTokens / seconds(timeToFirstToken) - prefillSpeed);
		}
		if (generatedTokens >= MIN_DECODE_TOKENS && decodeTime.toNanos() > 0) {
			decodeSpeed += sampleWeight * (generatedTokens / seconds(decodeTime) * Math.max(1, inFlight) - decodeSpeed);
		}
		return new EngineSpeed(prefillSpeed, decodeSpeed, this.observations + 1);
	}

	private static double seconds(Duration duration) {
		return duration.toNanos() / 1e9;
	}

}

package org.hemlockgw.core.schedule;

import java.time.Duration;

/**
 * Speed of an engine, learned from finished requests.
 *
 * @param prefillTokensPerSecond uncached prompt tokens a second
 * @param decodeTokensPerSecond generated tokens a second of the whole batch
 * @param observations finished requests taken into account
 */
public record EngineSpeed(double prefillTokensPerSecond, double decodeTokensPerSecond, int observations) {

	/**
	 * Assumed before the first observation. It is faster than any real engine, so that
	 * each new engine is tried; a pessimistic value left fast engines unused.
	 */
	public static final EngineSpeed INITIAL = new EngineSpeed(200_000, 20_000, 0);

	/**
	 * Least weight of a new observation. An engine that slows down is noticed in about 10
	 * requests.
	 */
	private static final double MIN_ALPHA = 0.2;

	/** Shorter prefills are dominated by fixed delays and say nothing about speed. */
	private static final long MIN_PREFILL_TOKENS = 64;

	private static final long MIN_DECODE_TOKENS = 8;

	/**
	 * Takes a finished request into account.
	 * @param uncachedTokens prompt tokens that were computed
	 * @param toFirstToken time from sending to the first token
	 * @param generatedTokens tokens after the first
	 * @param decoding time from the first token to the last
	 * @param inFlight requests on the engine
	 * @return the new estimate
	 */
	public EngineSpeed observe(long uncachedTokens, Duration toFirstToken, long generatedTokens, Duration decoding,
			int inFlight) {
		double alpha = Math.max(MIN_ALPHA, 1.0 / (this.observations + 1));
		double prefill = this.prefillTokensPerSecond;
		double decode = this.decodeTokensPerSecond;
		if (uncachedTokens >= MIN_PREFILL_TOKENS && toFirstToken.toNanos() > 0) {
			prefill += alpha * (uncachedTokens / seconds(toFirstToken) - prefill);
		}
		if (generatedTokens >= MIN_DECODE_TOKENS && decoding.toNanos() > 0) {
			decode += alpha * (generatedTokens / seconds(decoding) * Math.max(1, inFlight) - decode);
		}
		return new EngineSpeed(prefill, decode, this.observations + 1);
	}

	private static double seconds(Duration duration) {
		return duration.toNanos() / 1e9;
	}

}

package org.hemlockgw.core.schedule;

import java.time.Duration;

/**
 * Speed of an engine, learned from finished requests.
 *
 * @param prefillTokensPerSecond uncached prompt tokens a second
 * @param decodeTokensPerSecond generated tokens a second of one request
 */
public record EngineSpeed(double prefillTokensPerSecond, double decodeTokensPerSecond) {

	/** Assumed before the first observation. */
	public static final EngineSpeed INITIAL = new EngineSpeed(8_000, 40);

	/**
	 * Weight of a new observation. An engine that slows down is noticed in about 10
	 * requests.
	 */
	private static final double ALPHA = 0.2;

	/** Shorter prefills are dominated by fixed delays and say nothing about speed. */
	private static final long MIN_PREFILL_TOKENS = 64;

	private static final long MIN_DECODE_TOKENS = 8;

	/**
	 * Takes a finished request into account.
	 * @param uncachedTokens prompt tokens that were computed
	 * @param toFirstToken time from sending to the first token
	 * @param generatedTokens tokens after the first
	 * @param decoding time from the first token to the last
	 * @return the new estimate
	 */
	public EngineSpeed observe(long uncachedTokens, Duration toFirstToken, long generatedTokens, Duration decoding) {
		double prefill = this.prefillTokensPerSecond;
		double decode = this.decodeTokensPerSecond;
		if (uncachedTokens >= MIN_PREFILL_TOKENS && toFirstToken.toNanos() > 0) {
			prefill += ALPHA * (uncachedTokens / seconds(toFirstToken) - prefill);
		}
		if (generatedTokens >= MIN_DECODE_TOKENS && decoding.toNanos() > 0) {
			decode += ALPHA * (generatedTokens / seconds(decoding) - decode);
		}
		return new EngineSpeed(prefill, decode);
	}

	private static double seconds(Duration duration) {
		return duration.toNanos() / 1e9;
	}

}

package org.hemlockgw.core.schedule;

import org.hemlockgw.core.config.Policy;
import org.hemlockgw.core.dispatch.EngineLoad;

/**
 * Estimates the cost of running a turn on an engine, in seconds. Lower is better.
 */
public final class CompletionEstimate {

	/**
	 * Weight of the time spent on recomputing tokens that another engine has cached. With
	 * the latency-first policy this time is weighted as engine time lost to other
	 * requests; with the cache-first policy it counts four times.
	 */
	private static final double LATENCY_FIRST_WASTE_WEIGHT = 0.5;

	private static final double CACHE_FIRST_WASTE_WEIGHT = 4;

	private static final double EXPECTED_RESPONSE_TOKENS = 128;

	private CompletionEstimate() {
	}

	/**
	 * Estimates the cost of a turn on an engine.
	 * @param policy scheduling policy
	 * @param load load of the engine
	 * @param pendingTokens tokens of work sent to the engine after the load was measured
	 * @param promptTokens length of the prompt
	 * @param cachedTokens prompt tokens cached by this engine
	 * @param maxCachedTokens prompt tokens cached by the engine with the largest cached
	 * part; those that this engine lacks are recomputed here
	 * @return the cost in seconds
	 */
	public static double costSeconds(Policy policy, EngineLoad load, long pendingTokens, long promptTokens,
			long cachedTokens, long maxCachedTokens) {
		double prefillSpeed = Math.max(1, load.prefillTokensPerSecond());
		double queueSeconds = (load.queuedTokens() + pendingTokens) / prefillSpeed;
		double prefillSeconds = Math.max(0, promptTokens - cachedTokens) / prefillSpeed;
		double decodeSeconds = EXPECTED_RESPONSE_TOKENS * (load.inFlight() + 1)
				/ Math.max(1, load.decodeTokensPerSecond());
		double wastedSeconds = Math.max(0, maxCachedTokens - cachedTokens) / prefillSpeed;
		return queueSeconds + prefillSeconds + decodeSeconds + wastedSeconds * wasteWeight(policy);
	}

	private static double wasteWeight(Policy policy) {
		return switch (policy) {
			case LATENCY_FIRST -> LATENCY_FIRST_WASTE_WEIGHT;
			case CACHE_FIRST -> CACHE_FIRST_WASTE_WEIGHT;
		};
	}

}

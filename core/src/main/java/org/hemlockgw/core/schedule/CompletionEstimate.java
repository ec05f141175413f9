package org.hemlockgw.core.schedule;

import org.hemlockgw.core.config.Policy;
import org.hemlockgw.core.dispatch.EngineLoad;

/**
 * Cost of running a turn on an engine, in seconds. Lower is better.
 */
public final class CompletionEstimate {

	/**
	 * Weight of the seconds spent on computing cached tokens again. Under latency first
	 * it is the engine time taken from others; under cache first waste counts four times.
	 */
	private static final double LATENCY_FIRST_WASTE_WEIGHT = 0.5;

	private static final double CACHE_FIRST_WASTE_WEIGHT = 4;

	private static final double EXPECTED_ANSWER_TOKENS = 128;

	private CompletionEstimate() {
	}

	/**
	 * Estimates the cost.
	 * @param policy what weighs more
	 * @param load the engine's load
	 * @param pendingTokens work sent to it since that load was known
	 * @param promptTokens prompt length
	 * @param cachedTokens part of the prompt that this engine holds
	 * @param cachedElsewhere part of the prompt that the best engine holds, which is
	 * wasted here
	 * @return seconds
	 */
	public static double costSeconds(Policy policy, EngineLoad load, long pendingTokens, long promptTokens,
			long cachedTokens, long cachedElsewhere) {
		double prefill = Math.max(1, load.prefillTokensPerSecond());
		double ahead = (load.queuedTokens() + pendingTokens) / prefill;
		double own = Math.max(0, promptTokens - cachedTokens) / prefill;
		double answer = EXPECTED_ANSWER_TOKENS * (load.inFlight() + 1) / Math.max(1, load.decodeTokensPerSecond());
		double wasted = Math.max(0, cachedElsewhere - cachedTokens) / prefill;
		return ahead + own + answer + wasted * wasteWeight(policy);
	}

	private static double wasteWeight(Policy policy) {
		return switch (policy) {
			case LATENCY_FIRST -> LATENCY_FIRST_WASTE_WEIGHT;
			case CACHE_FIRST -> CACHE_FIRST_WASTE_WEIGHT;
		};
	}

}

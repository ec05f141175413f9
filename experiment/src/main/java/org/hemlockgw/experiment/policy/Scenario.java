package org.hemlockgw.experiment.policy;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.standins.engine.EngineOptions;

/**
 * What is put before each policy.
 *
 * @param engines the engines
 * @param programs the workload
 * @param lengthNs length of the arrival period
 * @param slowdownNs when engine 1 drops to half speed; {@code Long.MAX_VALUE} for never
 * @param leaveNs when engine 2 leaves; {@code Long.MAX_VALUE} for never
 * @param ranking which idle sessions the dispatcher drops first when memory is short;
 * {@code null} leaves eviction to the engine
 */
record Scenario(List<EngineOptions> engines, List<ProgramSpec> programs, long lengthNs, long slowdownNs, long leaveNs,
		@Nullable SessionRanking ranking) {

	private static final long CACHE_TOKENS = 400_000;

	private static final int MAX_BATCH = 32;

	private static final int CHUNK_TOKENS = 512;

	/** Speeds of the engines relative to the slowest. */
	private static final List<Double> SPEEDS = List.of(1.0, 1.0, 2.0, 2.0, 4.0, 4.0);

	private static final double PREFILL_TOKENS_PER_S = 4_000;

	private static final double DECODE_TOKENS_PER_S = 300;

	static Scenario create(long seed, double programsPerSecond, double seconds, double floodFactor, boolean faults) {
		List<EngineOptions> engines = SPEEDS.stream()
			.map((s) -> new EngineOptions(PREFILL_TOKENS_PER_S * s, DECODE_TOKENS_PER_S * s, MAX_BATCH, CACHE_TOKENS,
					CHUNK_TOKENS, 0, "", true))
			.toList();
		List<ProgramSpec> programs = new Workload(seed, programsPerSecond, seconds, floodFactor).generate();
		long length = (long) (seconds * 1e9);
		return new Scenario(engines, programs, length, faults ? length / 2 : Long.MAX_VALUE,
				faults ? length * 3 / 4 : Long.MAX_VALUE, null);
	}

	/**
	 * Returns the same scenario with small caches and a ranking of idle sessions.
	 * @param cacheTokens cache of each engine
	 * @param dropFirst the ranking, or {@code null} for the engine's own order
	 * @return the scenario
	 */
	Scenario withCache(long cacheTokens, @Nullable SessionRanking dropFirst) {
		List<EngineOptions> small = this.engines.stream()
			.map((e) -> new EngineOptions(e.prefillTokensPerS(), e.decodeTokensPerS(), e.maxBatch(), cacheTokens,
					e.prefillChunkTokens(), e.restartMs(), e.crashMarker(), e.checksFencing()))
			.toList();
		return new Scenario(small, this.programs, this.lengthNs, this.slowdownNs, this.leaveNs, dropFirst);
	}

}

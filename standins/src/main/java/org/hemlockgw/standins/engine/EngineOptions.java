package org.hemlockgw.standins.engine;

/**
 * Size of an engine.
 *
 * @param prefillTokensPerS prompt tokens that the whole batch computes a second
 * @param decodeTokensPerS answer tokens that the whole batch generates a second
 * @param maxBatch most requests in the batch
 * @param cacheTokens tokens that the prefix cache holds
 * @param prefillChunkTokens most prompt tokens computed in one step of the batch
 * @param restartMs how long a crashed engine refuses connections
 * @param crashMarker a prompt that contains this text crashes the engine; empty for none
 * @param checksFencing whether orders with an old fencing number are rejected
 */
public record EngineOptions(double prefillTokensPerS, double decodeTokensPerS, int maxBatch, long cacheTokens,
		int prefillChunkTokens, long restartMs, String crashMarker, boolean checksFencing) {

	/** An engine of medium size. */
	public static final EngineOptions DEFAULT = new EngineOptions(20_000, 1_000, 32, 1_000_000, 512, 2_000, "", true);

	public EngineOptions {
		requirePositive("prefill_tokens_per_s", prefillTokensPerS);
		requirePositive("decode_tokens_per_s", decodeTokensPerS);
		requirePositive("max_batch", maxBatch);
		requirePositive("cache_tokens", (double) cacheTokens);
		requirePositive("prefill_chunk_tokens", prefillChunkTokens);
	}

	private static void requirePositive(String name, double value) {
		if (!(value > 0)) {
			throw new IllegalArgumentException(name + " must be above 0, was " + value);
		}
	}

}

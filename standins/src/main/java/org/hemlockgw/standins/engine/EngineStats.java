package org.hemlockgw.standins.engine;

/**
 * Counters since the start of an engine. A crash does not reset them.
 *
 * @param requestsAdmitted requests taken into the waiting list
 * @param requestsFinished requests whose answer was generated to its end
 * @param promptTokens prompt tokens of started requests
 * @param cachedTokens prompt tokens served from the cache
 * @param recomputedTokens prompt tokens computed again although this engine had held them
 * @param generatedTokens answer tokens
 * @param heldTokenSeconds integral of the tokens held by all sessions
 * @param idleTokenSeconds part of it held by sessions without a request in the batch
 * @param evictions sessions evicted for lack of memory
 * @param running requests in the batch now
 * @param waiting requests in the waiting list now
 * @param heldTokens tokens held now
 */
public record EngineStats(long requestsAdmitted, long requestsFinished, long promptTokens, long cachedTokens,
		long recomputedTokens, long generatedTokens, double heldTokenSeconds, double idleTokenSeconds, long evictions,
		int running, int waiting, long heldTokens) {
}

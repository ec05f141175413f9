package org.hemlockgw.core.platform;

/**
 * The engine's own load report, which lags.
 *
 * @param running requests in the batch
 * @param waiting requests admitted but not started
 * @param cachedTokens tokens held in the prefix cache
 * @param cacheCapacityTokens size of the prefix cache
 */
public record EngineLoadReport(int running, int waiting, long cachedTokens, long cacheCapacityTokens) {
}

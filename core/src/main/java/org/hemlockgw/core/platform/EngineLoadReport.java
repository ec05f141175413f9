package org.hemlockgw.core.platform;

/**
 * Load report of an engine. It lags behind the actual load.
 *
 * @param running number of requests in the current batch
 * @param waiting number of requests that were admitted but have not started
 * @param cachedTokens tokens in the prefix cache
 * @param cacheCapacityTokens size of the prefix cache, in tokens
 */
public record EngineLoadReport(int running, int waiting, long cachedTokens, long cacheCapacityTokens) {
}

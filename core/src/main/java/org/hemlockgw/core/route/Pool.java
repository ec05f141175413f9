package org.hemlockgw.core.route;

/**
 * Pool of the backend servers of one service.
 *
 * @param name unique name
 * @param maxConnections maximum number of connections that one server accepts from all
 * callers together
 * @param tokensPerEvent number of tokens in each event of a stream; 0 for a plain service
 * @param memoryTokens number of tokens for which each engine has memory; 0 if unknown
 */
public record Pool(String name, int maxConnections, int tokensPerEvent, int memoryTokens) {
}

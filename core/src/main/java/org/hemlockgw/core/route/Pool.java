package org.hemlockgw.core.route;

/**
 * Pool of the backend servers of one service.
 *
 * @param name unique name
 * @param maxConnections maximum number of connections that one server accepts from all
 * callers together
 * @param tokensPerEvent number of tokens in each event of a stream; 0 for a plain service
 */
public record Pool(String name, int maxConnections, int tokensPerEvent) {
}

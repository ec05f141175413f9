package org.hemlockgw.core.route;

/**
 * Backend servers of one service.
 *
 * @param name unique name
 * @param maxConnections connections that one server accepts from all callers together
 * @param tokensPerEvent tokens in each event of a stream; 0 for a plain service
 */
public record Pool(String name, int maxConnections, int tokensPerEvent) {
}

package org.hemlockgw.core.route;

/**
 * Share of a route's requests that is sent to one pool.
 *
 * @param pool name of the pool
 * @param weight relative weight, positive
 */
public record PoolShare(String pool, int weight) {
}

package org.hemlockgw.core.route;

/**
 * Part of a route's requests that goes to one pool.
 *
 * @param pool name of the pool
 * @param weight relative weight, positive
 */
public record PoolShare(String pool, int weight) {
}

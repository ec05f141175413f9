package org.hemlockgw.core.pool;

/**
 * A backend server as its directory describes it.
 *
 * @param id identifier of its lifetime
 * @param pool name of its pool
 * @param address IP number and port
 * @param dataCentre where it runs
 * @param slots requests that it runs at once
 * @param draining whether it gets nothing new
 * @param bornMs time of its start in milliseconds since the epoch; 0 if unknown
 */
public record PoolMember(String id, String pool, String address, String dataCentre, int slots, boolean draining,
		long bornMs) {
}

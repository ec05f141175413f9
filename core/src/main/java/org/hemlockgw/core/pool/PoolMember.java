package org.hemlockgw.core.pool;

/**
 * Backend server of a pool, as listed by the server directory.
 *
 * @param id identifier of the server instance
 * @param pool name of the pool
 * @param address IP address and port
 * @param dataCentre data centre in which the server runs
 * @param slots maximum number of concurrent requests
 * @param draining whether the server must not receive new requests
 * @param startedAtMs start time in milliseconds since the epoch; 0 if unknown
 */
public record PoolMember(String id, String pool, String address, String dataCentre, int slots, boolean draining,
		long startedAtMs) {

	PoolMember withDraining() {
		return new PoolMember(this.id, this.pool, this.address, this.dataCentre, this.slots, true, this.startedAtMs);
	}

}

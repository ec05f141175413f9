package org.hemlockgw.core.route;

import java.time.Duration;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Rule for the requests to one host and path prefix.
 *
 * @param name unique name
 * @param host value of the host header
 * @param pathPrefix path prefix that begins and ends with a slash
 * @param kind execution semantics of the requests
 * @param timeout maximum time until a request is answered
 * @param objective latency objective of the requests
 * @param priority priority of the requests; 0 is the highest
 * @param shares pools with their weights, at least one
 * @param maxAttempts maximum number of backend servers to which one request is sent
 * @param retention how long the budgets of programs, and turns if they are stored, are
 * retained; null if the requests are not turns of programs
 * @param publicAccess whether requests need no key of a client account
 * @param historyStored whether turns are stored, so that later turns can continue them
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, Duration timeout, Duration objective,
		int priority, List<PoolShare> shares, int maxAttempts, @Nullable Duration retention, boolean publicAccess,
		boolean historyStored) {

	/**
	 * Selects the pool for a request in proportion to the weights.
	 * @param hash hash of the request
	 * @return name of the pool
	 */
	public String selectPool(int hash) {
		int total = 0;
		for (PoolShare share : this.shares) {
			total += share.weight();
		}
		int point = Math.floorMod(hash, Math.max(1, total));
		for (PoolShare share : this.shares) {
			point -= share.weight();
			if (point < 0) {
				return share.pool();
			}
		}
		return this.shares.get(0).pool();
	}

}

package org.hemlockgw.core.route;

import java.time.Duration;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Rule for the requests of one host and path prefix.
 *
 * @param name unique name
 * @param host host that the request names
 * @param pathPrefix begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time that a request is kept waiting
 * @param objective time within which an answer is on time
 * @param priority rank; 0 is the highest
 * @param shares pools by weight, at least one
 * @param maxAttempts most backend servers that one request may be sent to
 * @param retention how long turns are kept; null if the route keeps none
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, Duration timeout, Duration objective,
		int priority, List<PoolShare> shares, int maxAttempts, @Nullable Duration retention) {

	/**
	 * Picks the pool of a request.
	 * @param hash any hash of the request
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

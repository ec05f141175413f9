package org.hemlockgw.core.pool;

import java.util.List;

/**
 * Compares the share of recent requests that each server received with its weight. Not
 * thread-safe.
 */
final class RequestShares {

	/** Time in milliseconds in which the weight of a past request halves. */
	private static final double HALF_LIFE_MS = 10_000;

	/**
	 * Number of requests that a server may receive above its share in any case, so that
	 * the first requests don't make a server seem overloaded. With 2 small servers
	 * received 4 percent more than their share.
	 */
	private static final double TOLERATED_REQUESTS = 0.5;

	/** Same for requests below the share. */
	private static final double TOLERATED_DEFICIT = 2;

	/** Unit at which the numbers are scaled down, to keep their precision. */
	private static final double MAX_UNIT = 1e9;

	private static final double NANOS_PER_MS = 1_000_000;

	// Instead of reducing old counts, the unit in which new requests are counted grows.
	private double unit = 1;

	private long updatedNanos;

	private double total;

	private double totalWeight;

	/**
	 * Sums up the weights and counts after the servers have changed.
	 * @param servers all servers
	 */
	void update(List<PoolServer> servers) {
		this.total = 0;
		this.totalWeight = 0;
		for (PoolServer server : servers) {
			if (!server.member().draining()) {
				this.total += server.recentRequests();
				this.totalWeight += server.weight();
			}
		}
	}

	/**
	 * Updates the unit of counting.
	 * @param servers all servers
	 * @param nowNanos current time
	 */
	void advance(List<PoolServer> servers, long nowNanos) {
		this.unit *= Math.pow(2, (nowNanos - this.updatedNanos) / NANOS_PER_MS / HALF_LIFE_MS);
		this.updatedNanos = nowNanos;
		if (this.unit > MAX_UNIT) {
			double scale = this.unit;
			servers.forEach((server) -> server.setRecentRequests(server.recentRequests() / scale));
			this.total /= scale;
			this.unit = 1;
		}
	}

	void count(PoolServer server) {
		server.setRecentRequests(server.recentRequests() + this.unit);
		this.total += this.unit;
	}

	/**
	 * Returns the requests of a server relative to its share.
	 * @param server the server
	 * @return 1 if it received about what its weight justifies, more if it received too
	 * many
	 */
	double excess(PoolServer server) {
		double share = (this.totalWeight > 0) ? this.total * server.weight() / this.totalWeight : 0;
		double recent = server.recentRequests();
		if (recent < share) {
			return Math.min(1, (recent + TOLERATED_DEFICIT * this.unit) / share);
		}
		return Math.max(1, recent / (share + TOLERATED_REQUESTS * this.unit));
	}

	/**
	 * Returns the highest number of requests of a server relative to its share.
	 * @param servers all servers
	 * @return highest excess; 0 without requests
	 */
	double highestExcess(List<PoolServer> servers) {
		return servers.stream().mapToDouble(this::excess).max().orElse(0);
	}

}

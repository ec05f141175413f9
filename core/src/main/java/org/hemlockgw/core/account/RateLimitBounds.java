package org.hemlockgw.core.account;

import java.time.Duration;

/**
 * Accuracy with which rate limits are enforced. In any window at most
 * {@code (rate * window + burst) * (1 + excess) + slack} requests of an account run.
 *
 * @param window length of the sliding window
 * @param excess tolerated excess as a fraction of the requests that the cap allows
 * @param slack tolerated excess in requests
 */
public record RateLimitBounds(Duration window, double excess, double slack) {

	/** Bounds if the settings contain none: a cap is exact. */
	public static final RateLimitBounds DEFAULT = new RateLimitBounds(Duration.ofSeconds(5), 0, 0);

	/**
	 * Returns the maximum number of requests in one window.
	 * @param cap the cap
	 * @return number of requests
	 */
	public double maxRequests(RateLimit cap) {
		return (cap.ratePerSecond() * this.window.toNanos() / 1e9 + cap.burst()) * (1 + this.excess) + this.slack;
	}

}

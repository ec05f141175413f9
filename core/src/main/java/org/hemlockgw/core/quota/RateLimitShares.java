package org.hemlockgw.core.quota;

import org.hemlockgw.core.account.RateLimit;
import org.hemlockgw.core.account.RateLimitBounds;

/**
 * Division of the requests that a rate limit tolerates in one window. The sum of
 * {@code capacity + rate * window} and the three shares of the reserve never exceeds
 * {@link RateLimitBounds#maxRequests}.
 *
 * @param windowSeconds length of the window in seconds
 * @param rate refill of the bucket in permits per second
 * @param capacity capacity of the bucket in permits
 * @param returns credited returns per window
 * @param start additional permits per window after a start without state
 * @param unconfirmed permits per window of holders without confirmed membership
 */
record RateLimitShares(double windowSeconds, double rate, double capacity, double returns, double start,
		double unconfirmed) {

	/**
	 * Fraction of the tolerated excess that the bucket uses in normal operation. The
	 * requests of a program come in groups, so that a bucket of the burst alone refuses
	 * accounts of a few requests per second below their cap.
	 */
	private static final double NORMAL_FRACTION = 0.8;

	/** Fraction of the reserve for returned permits, the most frequent use. */
	private static final double RETURNS_FRACTION = 0.4;

	private static final double START_FRACTION = 0.2;

	private static final double UNCONFIRMED_FRACTION = 0.4;

	static RateLimitShares of(RateLimit cap, RateLimitBounds bounds) {
		double window = bounds.window().toNanos() / 1e9;
		double excess = bounds.excess() * NORMAL_FRACTION;
		double rate = cap.ratePerSecond() * (1 + excess);
		double capacity = cap.burst() * (1 + excess) + bounds.slack() * NORMAL_FRACTION;
		double reserve = bounds.maxRequests(cap) - rate * window - capacity;
		if (capacity < 1) {
			// A bucket that holds less than one permit would never grant one.
			rate = Math.max(0, rate - (1 - capacity) / window);
			capacity = 1;
		}
		return new RateLimitShares(window, rate, capacity, reserve * RETURNS_FRACTION, reserve * START_FRACTION,
				reserve * UNCONFIRMED_FRACTION);
	}

}

package org.hemlockgw.core.retry;

import java.time.Duration;

/**
 * Exponential backoff with full jitter.
 *
 * @param base upper bound of the first delay
 * @param max upper bound of all delays
 */
public record Backoff(Duration base, Duration max) {

	/**
	 * The first delay is short compared with the target of 310 ms for the first token.
	 * The maximum delay limits attempts on an unavailable server to about one per second
	 * and call.
	 */
	public static final Backoff DEFAULT = new Backoff(Duration.ofMillis(20), Duration.ofSeconds(1));

	/**
	 * Returns the delay before a retry.
	 * @param retry number of the retry, starting at 1
	 * @param random uniformly distributed value from 0 (inclusive) to 1 (exclusive)
	 * @return a delay from 0 to the upper bound for this retry
	 */
	public Duration delay(int retry, double random) {
		double bound = this.base.toNanos() * Math.pow(2, Math.max(0, retry - 1));
		return Duration.ofNanos((long) (random * Math.min((double) this.max.toNanos(), bound)));
	}

}

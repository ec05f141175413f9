package org.hemlockgw.core.retry;

import java.time.Duration;

/**
 * Exponential backoff with full jitter.
 *
 * @param base upper bound of the first delay
 * @param max upper bound of every delay
 */
public record Backoff(Duration base, Duration max) {

	/**
	 * The first delay is short against a first token due in 310 ms; the largest keeps an
	 * unavailable server at one attempt a second per call.
	 */
	public static final Backoff DEFAULT = new Backoff(Duration.ofMillis(20), Duration.ofSeconds(1));

	/**
	 * Returns the delay before an attempt.
	 * @param retry number of the retry, from 1
	 * @param random uniform from 0 (inclusive) to 1 (exclusive)
	 * @return a delay from 0 to the upper bound of that retry
	 */
	public Duration delay(int retry, double random) {
		double bound = this.base.toNanos() * Math.pow(2, Math.max(0, retry - 1));
		return Duration.ofNanos((long) (random * Math.min((double) this.max.toNanos(), bound)));
	}

}

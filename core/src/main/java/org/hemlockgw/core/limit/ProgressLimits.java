package org.hemlockgw.core.limit;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Time limits for requests that are received and responses that are sent.
 *
 * @param headNanos maximum time in nanoseconds to receive the head of a request
 * @param idleNanos maximum time in nanoseconds without any progress of a body or an
 * unread response
 */
public record ProgressLimits(long headNanos, long idleNanos) {

	/**
	 * Lowest mean rate in bytes per second at which a body is received after the first
	 * {@link #idleNanos()}; the slowest link of a known deployment carries more than a
	 * hundred times as much.
	 */
	static final long MIN_BODY_BYTES_PER_S = 16 * 1024;

	/**
	 * Creates limits.
	 * @param head maximum time to receive the head of a request
	 * @param idle maximum time without any progress
	 * @return the limits
	 */
	public static ProgressLimits of(Duration head, Duration idle) {
		return new ProgressLimits(head.toNanos(), idle.toNanos());
	}

	/**
	 * Returns the longest time that a body may take.
	 * @param receivedBytes bytes of the body that were received so far
	 * @return time in nanoseconds since the end of the head
	 */
	long bodyNanos(long receivedBytes) {
		return this.idleNanos + receivedBytes * TimeUnit.SECONDS.toNanos(1) / MIN_BODY_BYTES_PER_S;
	}

}

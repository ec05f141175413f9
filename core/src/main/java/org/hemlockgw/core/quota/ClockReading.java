package org.hemlockgw.core.quota;

import java.util.concurrent.TimeUnit;

/**
 * Simultaneous readings of the monotonic and the wall clock of one daemon. The monotonic
 * clock stops while a VM is suspended, and the wall clock may be set.
 *
 * @param nanos monotonic clock in nanoseconds with an arbitrary origin
 * @param wallMs wall clock in milliseconds since the epoch
 */
public record ClockReading(long nanos, long wallMs) {

	/**
	 * Returns an upper estimate of the time since an earlier reading: the larger of the
	 * two elapsed times.
	 * @param earlier the earlier reading
	 * @return elapsed time in nanoseconds, not negative
	 */
	public long maxElapsedNanos(ClockReading earlier) {
		long wallNanos = TimeUnit.MILLISECONDS.toNanos(this.wallMs - earlier.wallMs);
		return Math.max(0, Math.max(this.nanos - earlier.nanos, wallNanos));
	}

}

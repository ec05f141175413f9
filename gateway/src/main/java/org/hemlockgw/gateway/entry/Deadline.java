package org.hemlockgw.gateway.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A time limit that is measured from a start time.
 */
final class Deadline {

	private final LongSupplier nanoClock;

	private final long startNanos;

	private final long limitMs;

	Deadline(LongSupplier nanoClock, long limitMs) {
		this(nanoClock, nanoClock.getAsLong(), limitMs);
	}

	private Deadline(LongSupplier nanoClock, long startNanos, long limitMs) {
		this.nanoClock = nanoClock;
		this.startNanos = startNanos;
		this.limitMs = limitMs;
	}

	/**
	 * Returns a deadline with the same start time and another limit.
	 * @param newLimitMs limit in milliseconds
	 * @return the deadline
	 */
	Deadline withLimit(long newLimitMs) {
		return new Deadline(this.nanoClock, this.startNanos, newLimitMs);
	}

	long limitMs() {
		return this.limitMs;
	}

	long elapsedMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - this.startNanos);
	}

	long remainingMs() {
		return this.limitMs - elapsedMs();
	}

	boolean isHalfElapsed() {
		return remainingMs() < this.limitMs / 2;
	}

}

package org.hemlockgw.gateway.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Time that has passed since a beginning, and what is left of a limit.
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
	 * Returns another limit with the same beginning.
	 * @param otherMs limit in milliseconds
	 * @return the limit
	 */
	Deadline withLimit(long otherMs) {
		return new Deadline(this.nanoClock, this.startNanos, otherMs);
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

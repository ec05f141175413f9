package org.hemlockgw.gateway.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Time that has passed since a beginning, and what is left of a limit.
 */
final class TimeLimit {

	private final LongSupplier nanoClock;

	private final long startNanos;

	private final long limitMs;

	TimeLimit(LongSupplier nanoClock, long limitMs) {
		this(nanoClock, nanoClock.getAsLong(), limitMs);
	}

	private TimeLimit(LongSupplier nanoClock, long startNanos, long limitMs) {
		this.nanoClock = nanoClock;
		this.startNanos = startNanos;
		this.limitMs = limitMs;
	}

	/**
	 * Returns another limit with the same beginning.
	 * @param otherMs limit in milliseconds
	 * @return the limit
	 */
	TimeLimit withLimit(long otherMs) {
		return new TimeLimit(this.nanoClock, this.startNanos, otherMs);
	}

	long limitMs() {
		return this.limitMs;
	}

	long elapsedMs() {
		return TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - this.startNanos);
	}

	long leftMs() {
		return this.limitMs - elapsedMs();
	}

	boolean isHalfOver() {
		return leftMs() < this.limitMs / 2;
	}

}

package org.hemlockgw.core.account;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Elapsed time in nanoseconds that never runs behind real time. The monotonic clock stops
 * while a VM is suspended, and the wall clock may be set; so the time between two
 * readings is the larger of both differences, and a wall clock that was set back counts
 * as zero. Must be read regularly: a suspension that follows a step back of the wall
 * clock is noticed only if the clock was read between them.
 */
public final class SuspendAwareClock implements LongSupplier {

	/**
	 * Shortest interval that is added to the total. Each addition rounds up by the time
	 * between the readings of both clocks, which would add up at every request.
	 */
	private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	/** Limit on one step of the wall clock, which keeps differences within 64 bits. */
	private static final Duration MAX_STEP = Duration.ofDays(365);

	private final LongSupplier nanoClock;

	private final InstantSource wallClock;

	private long lastNanos;

	private Instant lastInstant;

	private long total;

	public SuspendAwareClock(LongSupplier nanoClock, InstantSource wallClock) {
		this.nanoClock = nanoClock;
		this.wallClock = wallClock;
		this.lastNanos = nanoClock.getAsLong();
		this.lastInstant = wallClock.instant();
	}

	/**
	 * Returns the elapsed time. Only differences are meaningful.
	 * @return nanoseconds since an arbitrary origin
	 */
	@Override
	public long getAsLong() {
		long nanos = this.nanoClock.getAsLong();
		Instant instant = this.wallClock.instant();
		long interval = Math.max(nanos - this.lastNanos, wallNanos(Duration.between(this.lastInstant, instant)));
		if (interval < MIN_INTERVAL_NANOS) {
			return this.total + interval;
		}
		this.lastNanos = nanos;
		this.lastInstant = instant;
		this.total += interval;
		return this.total;
	}

	private static long wallNanos(Duration elapsed) {
		if (elapsed.isNegative()) {
			return 0;
		}
		return (elapsed.compareTo(MAX_STEP) < 0) ? elapsed.toNanos() : MAX_STEP.toNanos();
	}

}

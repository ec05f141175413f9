package org.hemlockgw.core.pool;

import java.util.function.LongSupplier;

/**
 * Decides whether a pool can take new programs, by how long the requests of started
 * programs had to wait for a slot. A program brings many more requests after its first
 * one, so a pool whose started programs already wait is overloaded even if its queue is
 * short at the moment. Not thread-safe.
 */
final class WaitBasedAdmission {

	/**
	 * Time in milliseconds in which the weight of a sample halves: a few requests of a
	 * program.
	 */
	private static final double HALF_LIFE_MS = 300;

	/**
	 * Average wait from which no new programs are taken, as a fraction of the average
	 * duration of a request.
	 */
	private static final double MAX_WAIT_FRACTION = 0.25;

	/**
	 * Shortest delay in milliseconds after which a refused program may return; the load
	 * does not decline any faster.
	 */
	private static final long MIN_RETRY_AFTER_MS = 200;

	/**
	 * Range in milliseconds over which refused programs return, so that they do not all
	 * return at once.
	 */
	private static final long RETRY_SPREAD_MS = 400;

	private static final double NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private double averageWaitMs;

	private long updatedNanos;

	WaitBasedAdmission(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.updatedNanos = nanoClock.getAsLong();
	}

	/**
	 * Records how long a request of a started program has waited for a slot.
	 * @param waitMs time in milliseconds
	 */
	void recordWait(double waitMs) {
		double weight = decay();
		this.averageWaitMs = this.averageWaitMs * weight + waitMs * (1 - weight);
		this.updatedNanos = this.nanoClock.getAsLong();
	}

	// The longer the time without a sample, the less the average counts.
	private double decay() {
		double elapsedMs = (this.nanoClock.getAsLong() - this.updatedNanos) / NANOS_PER_MS;
		return Math.pow(0.5, elapsedMs / HALF_LIFE_MS);
	}

	/**
	 * Returns whether a new program may begin.
	 * @param requestDurationMs average duration of a request in milliseconds
	 * @return false while requests of started programs wait too long
	 */
	boolean isOpen(double requestDurationMs) {
		return this.averageWaitMs * decay() <= MAX_WAIT_FRACTION * requestDurationMs;
	}

	/**
	 * Returns the time after which a refused program may return.
	 * @param request identifier of the refused request
	 * @return time in milliseconds
	 */
	long retryAfterMs(String request) {
		return MIN_RETRY_AFTER_MS + Math.floorMod(request.hashCode(), RETRY_SPREAD_MS);
	}

}

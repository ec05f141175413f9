package org.hemlockgw.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Token bucket that limits retries to a tenth of the first attempts, so that retries do
 * not amplify an overload. Thread-safe.
 */
public final class RetryBudget {

	/** Number of first attempts that earn one retry. */
	private static final long UNITS_PER_RETRY = 10;

	/**
	 * Capacity of the bucket in retries. It allows for an engine crash, which fails all
	 * requests in flight on the engine at once; each of them is continued on another
	 * engine.
	 */
	private static final long MAX_RETRIES = 100;

	private final AtomicLong units = new AtomicLong(MAX_RETRIES * UNITS_PER_RETRY);

	public void recordFirstAttempt() {
		this.units.updateAndGet((value) -> Math.min(MAX_RETRIES * UNITS_PER_RETRY, value + 1));
	}

	/**
	 * Takes one retry from the bucket.
	 * @return whether the retry is allowed
	 */
	public boolean tryAcquire() {
		return this.units
			.getAndUpdate((value) -> (value >= UNITS_PER_RETRY) ? value - UNITS_PER_RETRY : value) >= UNITS_PER_RETRY;
	}

}

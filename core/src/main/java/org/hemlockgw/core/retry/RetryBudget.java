package org.hemlockgw.core.retry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Token bucket that caps retries at a tenth of first attempts, so that retries do not
 * amplify an overload. Thread-safe.
 */
public final class RetryBudget {

	/** First attempts that pay for one retry. */
	private static final long COST = 10;

	/**
	 * Retries that can be saved up. The death of one engine fails everything in flight on
	 * it at once, and all of that is continued elsewhere.
	 */
	private static final long MAX_RETRIES = 100;

	private final AtomicLong units = new AtomicLong(MAX_RETRIES * COST);

	public void recordFirstAttempt() {
		this.units.updateAndGet((u) -> Math.min(MAX_RETRIES * COST, u + 1));
	}

	/**
	 * Takes one retry from the bucket.
	 * @return whether the retry is allowed
	 */
	public boolean tryAcquire() {
		return this.units.getAndUpdate((u) -> (u >= COST) ? u - COST : u) >= COST;
	}

}

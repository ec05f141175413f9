package org.hemlockgw.gateway.owner;

import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Tracks whether the store answers this daemon. The store is called several times a
 * second, so a short time without an answer is sufficient to consider it unavailable.
 */
final class StoreHealth {

	private static final Logger logger = LoggerFactory.getLogger(StoreHealth.class);

	/**
	 * Time in milliseconds without an answer after which the store is considered
	 * unavailable: two joins.
	 */
	static final long UNAVAILABLE_MS = 700;

	/**
	 * Time in milliseconds after which the store is considered unavailable if a join has
	 * failed meanwhile, directly and through other daemons.
	 */
	private static final long FAILING_MS = 200;

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private final Runnable onAvailable;

	private long lastAnswerNanos;

	private boolean joinFailed;

	private boolean outageLogged;

	/**
	 * Creates a tracker that considers the store available.
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param onAvailable called when the store answers again after it was unavailable
	 */
	StoreHealth(LongSupplier nanoClock, Runnable onAvailable) {
		this.nanoClock = nanoClock;
		this.onAvailable = onAvailable;
		this.lastAnswerNanos = nanoClock.getAsLong();
	}

	void recordAnswer() {
		long now = this.nanoClock.getAsLong();
		boolean wasUnavailable = isUnavailable();
		if (this.outageLogged) {
			logger.atInfo().addKeyValue(LogFields.STORE_UNAVAILABLE_MS, silentMs()).log("store answers again");
		}
		this.lastAnswerNanos = now;
		this.joinFailed = false;
		this.outageLogged = false;
		if (wasUnavailable) {
			this.onAvailable.run();
		}
	}

	void recordFailedJoin() {
		this.joinFailed = true;
	}

	/**
	 * Logs when the store becomes unavailable, once per outage.
	 */
	void logIfUnavailable() {
		if (!this.outageLogged && isUnavailable()) {
			this.outageLogged = true;
			logger.atWarn().addKeyValue(LogFields.STORE_UNAVAILABLE_MS, silentMs()).log("store does not answer");
		}
	}

	boolean isUnavailable() {
		return silentMs() > (this.joinFailed ? FAILING_MS : UNAVAILABLE_MS);
	}

	private long silentMs() {
		return (this.nanoClock.getAsLong() - this.lastAnswerNanos) / NANOS_PER_MS;
	}

}

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

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private long lastAnswerNanos;

	private boolean outageLogged;

	StoreHealth(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.lastAnswerNanos = nanoClock.getAsLong();
	}

	void recordAnswer() {
		long now = this.nanoClock.getAsLong();
		if (this.outageLogged) {
			logger.atInfo()
				.addKeyValue(LogFields.STORE_UNAVAILABLE_MS, (now - this.lastAnswerNanos) / NANOS_PER_MS)
				.log("store answers again");
		}
		this.lastAnswerNanos = now;
		this.outageLogged = false;
	}

	/**
	 * Logs when the store becomes unavailable, once per outage.
	 */
	void logIfUnavailable() {
		if (!this.outageLogged && isUnavailable()) {
			this.outageLogged = true;
			logger.atWarn().addKeyValue(LogFields.STORE_UNAVAILABLE_MS, UNAVAILABLE_MS).log("store does not answer");
		}
	}

	boolean isUnavailable() {
		return this.nanoClock.getAsLong() - this.lastAnswerNanos > UNAVAILABLE_MS * NANOS_PER_MS;
	}

}

package org.hemlockgw.gateway.owner;

import java.util.function.LongSupplier;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Tells whether the store answers this daemon. It is asked several times a second, so a
 * short silence is enough.
 */
final class StoreHealth {

	private static final Logger logger = LoggerFactory.getLogger(StoreHealth.class);

	/**
	 * Time in milliseconds without an answer after which the store is away: two joins.
	 */
	private static final long AWAY_MS = 700;

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private long answeredNanos;

	private boolean reported;

	StoreHealth(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.answeredNanos = nanoClock.getAsLong();
	}

	void recordAnswer() {
		long now = this.nanoClock.getAsLong();
		if (this.reported) {
			logger.atInfo()
				.addKeyValue(LogFields.STORE_UNAVAILABLE_MS, (now - this.answeredNanos) / NANOS_PER_MS)
				.log("store answers again");
		}
		this.answeredNanos = now;
		this.reported = false;
	}

	/**
	 * Writes a line once the store is away.
	 */
	void logIfUnavailable() {
		if (!this.reported && isUnavailable()) {
			this.reported = true;
			logger.atWarn().addKeyValue(LogFields.STORE_UNAVAILABLE_MS, AWAY_MS).log("store does not answer");
		}
	}

	boolean isUnavailable() {
		return this.nanoClock.getAsLong() - this.answeredNanos > AWAY_MS * NANOS_PER_MS;
	}

}

package org.hemlockgw.gateway.owner;

import java.util.function.LongSupplier;

/**
 * Tells whether the store answers this daemon. It is asked several times a second, so a
 * short silence is enough.
 */
final class StoreHealth {

	/**
	 * Time in milliseconds without an answer after which the store is away: two joins.
	 */
	private static final long AWAY_MS = 700;

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private long answeredNanos;

	StoreHealth(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.answeredNanos = nanoClock.getAsLong();
	}

	void answered() {
		this.answeredNanos = this.nanoClock.getAsLong();
	}

	boolean isAway() {
		return this.nanoClock.getAsLong() - this.answeredNanos > AWAY_MS * NANOS_PER_MS;
	}

}

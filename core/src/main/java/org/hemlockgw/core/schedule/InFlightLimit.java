package org.hemlockgw.core.schedule;

import java.time.Duration;

/**
 * Limit of requests on one engine, found by additive increase and multiplicative decrease
 * against the time between tokens.
 *
 * @param value the limit; its floor is what may be in flight
 * @param max upper limit from the configuration
 */
public record InFlightLimit(double value, int max) {

	/** Bound of the service target for the time between tokens. */
	public static final Duration TOKEN_INTERVAL_TARGET = Duration.ofMillis(39);

	private static final int INITIAL = 4;

	private static final double DECREASE = 0.9;

	public static InFlightLimit initial(int max) {
		return new InFlightLimit(Math.min(INITIAL, max), max);
	}

	public int limit() {
		return (int) this.value;
	}

	/**
	 * Takes a finished request into account.
	 * @param tokenInterval mean time between its tokens
	 * @param inFlight requests that were on the engine
	 * @return the new limit
	 */
	public InFlightLimit observe(Duration tokenInterval, int inFlight) {
		if (tokenInterval.compareTo(TOKEN_INTERVAL_TARGET) > 0) {
			return new InFlightLimit(Math.max(1, this.value * DECREASE), this.max);
		}
		if (inFlight < limit()) {
			return this;
		}
		return new InFlightLimit(Math.min(this.max, this.value + 1 / this.value), this.max);
	}

	public InFlightLimit withMax(int newMax) {
		return (newMax == this.max) ? this : new InFlightLimit(Math.min(this.value, newMax), newMax);
	}

}

package org.hemlockgw.core.schedule;

import java.time.Duration;

/**
 * Limit on the number of concurrent requests on one engine, adjusted by additive increase
 * and multiplicative decrease (AIMD) to meet the target for the time between tokens.
 *
 * @param value current limit; its integer part is the permitted number of requests
 * @param max upper bound from the configuration
 */
public record InFlightLimit(double value, int max) {

	/** Service level target for the time between tokens. */
	public static final Duration TOKEN_INTERVAL_TARGET = Duration.ofMillis(39);

	private static final int INITIAL_LIMIT = 4;

	private static final double DECREASE_FACTOR = 0.9;

	public static InFlightLimit initial(int max) {
		return new InFlightLimit(Math.min(INITIAL_LIMIT, max), max);
	}

	/**
	 * Returns the permitted number of requests in flight.
	 * @return the limit, rounded down
	 */
	public int limit() {
		return (int) this.value;
	}

	/**
	 * Returns a limit adjusted to a finished request.
	 * @param tokenInterval mean time between the tokens of the request
	 * @param inFlight number of requests that were on the engine
	 * @return the new limit
	 */
	public InFlightLimit observe(Duration tokenInterval, int inFlight) {
		if (tokenInterval.compareTo(TOKEN_INTERVAL_TARGET) > 0) {
			return new InFlightLimit(Math.max(1, this.value * DECREASE_FACTOR), this.max);
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

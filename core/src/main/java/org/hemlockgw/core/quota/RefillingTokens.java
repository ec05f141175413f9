package org.hemlockgw.core.quota;

/**
 * Tokens that accrue at a rate up to a capacity. In any period, at most the capacity plus
 * the rate times the period is taken, also if the tokens are discarded in between.
 */
final class RefillingTokens {

	/** Tolerance in tokens for rounding errors of the refill. */
	private static final double ROUNDING = 1e-9;

	private double rate;

	private double capacity;

	private double level;

	RefillingTokens(double rate, double capacity, double level) {
		this.rate = rate;
		this.capacity = capacity;
		this.level = Math.min(capacity, level);
	}

	void refill(double seconds) {
		add(Math.max(0, seconds) * this.rate);
	}

	void add(double tokens) {
		this.level = Math.min(this.capacity, this.level + tokens);
	}

	boolean hasToken() {
		return this.level >= 1 - ROUNDING;
	}

	void take() {
		this.level = Math.max(0, this.level - 1);
	}

	void change(double newRate, double newCapacity) {
		this.rate = newRate;
		this.capacity = newCapacity;
		this.level = Math.min(this.level, newCapacity);
	}

	double level() {
		return this.level;
	}

	double secondsToFull() {
		return (this.capacity - this.level) / this.rate;
	}

	/**
	 * Returns the time until a token is available.
	 * @return time in seconds; infinite if the rate is 0
	 */
	double secondsToToken() {
		return hasToken() ? 0 : (1 - this.level) / this.rate;
	}

}

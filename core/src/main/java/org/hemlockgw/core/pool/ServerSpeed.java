package org.hemlockgw.core.pool;

/**
 * Learns how fast a server generates and reads prompts. Medians over a window describe
 * the server itself; a moving average that decays describes its present state. Not
 * thread-safe.
 */
final class ServerSpeed {

	/** Weight of a new sample in the moving average; smooths over about 5 requests. */
	private static final double SAMPLE_WEIGHT = 0.2;

	/**
	 * Time in milliseconds in which the deviation of the present speed halves without new
	 * samples. A server that was avoided for its slowness is thus tried again.
	 */
	private static final double DEVIATION_HALF_LIFE_MS = 1000;

	/**
	 * Minimum number of prompt tokens for a sample of the reading speed. The time of
	 * shorter prompts consists mostly of fixed delays.
	 */
	private static final long MIN_PREFILL_TOKENS = 256;

	/**
	 * Time in milliseconds in which the difference from the pool's speed halves without
	 * new samples. A server whose samples all come from a slow spell was never tried
	 * again without it.
	 */
	private static final double DIFFERENCE_HALF_LIFE_MS = 2000;

	private static final double MICROS_PER_MS = 1000;

	private static final double NANOS_PER_MS = 1_000_000;

	private final SampleWindow steps = new SampleWindow();

	private final SampleWindow prefills = new SampleWindow();

	private double recentStepMs = Double.NaN;

	private long sampledNanos;

	private double medianStepMs = Double.NaN;

	private double usualStepMs = Double.NaN;

	private double prefillMs = Double.NaN;

	private double stepMs = Double.NaN;

	/**
	 * Records a response.
	 * @param timing its timing
	 * @param durationMs time in milliseconds for which it held its slot
	 * @param uncachedTokens prompt tokens that the server had to read
	 * @param loadFactor slowdown by the requests that ran concurrently
	 * @param hasPrompt whether the request has a prompt
	 * @param nowNanos current time
	 */
	void record(ResponseTiming timing, double durationMs, long uncachedTokens, double loadFactor, boolean hasPrompt,
			long nowNanos) {
		double firstMs = timing.firstEventMicros() / MICROS_PER_MS;
		double unitMs;
		if (timing.eventGapMicros() > 0) {
			unitMs = timing.eventGapMicros() / MICROS_PER_MS;
		}
		else if (firstMs > 0) {
			unitMs = hasPrompt ? Double.NaN : firstMs;
		}
		else {
			unitMs = durationMs / timing.units();
		}
		if (!Double.isNaN(unitMs)) {
			recordStep(unitMs / loadFactor, nowNanos);
		}
		if (uncachedTokens >= MIN_PREFILL_TOKENS && firstMs > 0 && timing.eventGapMicros() > 0) {
			// The first event contains as many tokens as the others.
			this.prefills.add(Math.max(0, firstMs - unitMs) / uncachedTokens, nowNanos);
		}
	}

	private void recordStep(double sampleMs, long nowNanos) {
		this.steps.add(sampleMs, nowNanos);
		double previous = this.recentStepMs;
		if (!Double.isNaN(previous) && !Double.isNaN(this.medianStepMs)) {
			previous = this.medianStepMs + (previous - this.medianStepMs) * decay(nowNanos, DEVIATION_HALF_LIFE_MS);
		}
		this.recentStepMs = Double.isNaN(previous) ? sampleMs : previous + SAMPLE_WEIGHT * (sampleMs - previous);
		this.sampledNanos = nowNanos;
		this.stepMs = this.recentStepMs;
	}

	private double decay(long nowNanos, double halfLifeMs) {
		return Math.pow(0.5, (nowNanos - this.sampledNanos) / NANOS_PER_MS / halfLifeMs);
	}

	/**
	 * Recomputes the estimates, which costs too much to be done for each decision.
	 * @param poolStepMs usual time for one unit in the pool; NaN if unknown
	 * @param nowNanos current time
	 */
	void refresh(double poolStepMs, long nowNanos) {
		this.medianStepMs = this.steps.median(nowNanos);
		this.prefillMs = this.prefills.median(nowNanos);
		double usualMs = this.medianStepMs;
		if (Double.isNaN(usualMs)) {
			usualMs = poolStepMs;
		}
		else if (!Double.isNaN(poolStepMs)) {
			usualMs = poolStepMs + (usualMs - poolStepMs) * decay(nowNanos, DIFFERENCE_HALF_LIFE_MS);
		}
		this.usualStepMs = usualMs;
		this.stepMs = this.recentStepMs;
		if (!Double.isNaN(usualMs)) {
			this.stepMs = usualMs + (this.recentStepMs - usualMs) * decay(nowNanos, DEVIATION_HALF_LIFE_MS);
		}
	}

	/**
	 * Returns the present time for one unit of a response on an idle server.
	 * @return time in milliseconds; NaN if unknown
	 */
	double stepMs() {
		return this.stepMs;
	}

	/**
	 * Returns the usual time for one unit of a response on an idle server.
	 * @return time in milliseconds; NaN if unknown
	 */
	double medianStepMs() {
		return this.medianStepMs;
	}

	/**
	 * Returns the usual time for one unit of a response on an idle server, which
	 * approaches the pool's while there are no samples.
	 * @return time in milliseconds; NaN if unknown
	 */
	double usualStepMs() {
		return this.usualStepMs;
	}

	/**
	 * Returns the time for reading one prompt token.
	 * @return time in milliseconds; NaN if unknown
	 */
	double prefillMs() {
		return this.prefillMs;
	}

}

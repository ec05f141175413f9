package org.hemlockgw.core.pool;

import java.util.Arrays;
import java.util.List;

/**
 * Averages over the servers of a pool, used for what is not known of a server or request.
 * Not thread-safe.
 */
final class PoolSpeed {

	/** Weight of a new sample in the moving averages; smooths over about 20 requests. */
	private static final double SAMPLE_WEIGHT = 0.05;

	/**
	 * Time in milliseconds for reading a prompt token until it has been measured: that of
	 * a common engine, so that cached prompts count from the start.
	 */
	private static final double INITIAL_PREFILL_MS = 0.01;

	/**
	 * Saving by affinity before it has been measured, as a fraction of a request's time.
	 */
	private static final double INITIAL_AFFINITY_GAIN = 0.2;

	/** Time in nanoseconds between two computations of the averages. */
	private static final long REFRESH_INTERVAL_NANOS = 250_000_000;

	private double stepMs = Double.NaN;

	private double prefillMs = INITIAL_PREFILL_MS;

	private double unitsPerResponse = Double.NaN;

	private double unitsPerOutputToken = Double.NaN;

	private double warmStepMs = Double.NaN;

	private double coldStepMs = Double.NaN;

	private long refreshedNanos = Long.MIN_VALUE / 2;

	/**
	 * Recomputes the averages and the servers' weights if the last time is long ago.
	 * @param servers all servers
	 * @param nowNanos current time
	 * @return whether they were recomputed
	 */
	boolean refreshIfDue(List<PoolServer> servers, long nowNanos) {
		if (nowNanos - this.refreshedNanos < REFRESH_INTERVAL_NANOS) {
			return false;
		}
		this.refreshedNanos = nowNanos;
		servers.forEach((server) -> server.speed().refresh(this.stepMs, nowNanos));
		this.stepMs = median(servers.stream().mapToDouble((server) -> server.speed().medianStepMs()).toArray());
		double prefill = median(servers.stream().mapToDouble((server) -> server.speed().prefillMs()).toArray());
		this.prefillMs = Double.isNaN(prefill) ? this.prefillMs : prefill;
		servers.forEach((server) -> server.updateSpeedStep(this.stepMs / server.speed().usualStepMs()));
		return true;
	}

	private static double median(double[] values) {
		double[] known = Arrays.stream(values).filter((value) -> !Double.isNaN(value)).sorted().toArray();
		return (known.length == 0) ? Double.NaN : known[known.length / 2];
	}

	/**
	 * Records a response.
	 * @param request the request
	 * @param units size of the response
	 */
	void recordResponse(SlotRequest request, int units) {
		this.unitsPerResponse = average(this.unitsPerResponse, units);
		if (request.maxTokens() > 0) {
			this.unitsPerOutputToken = average(this.unitsPerOutputToken, (double) units / request.maxTokens());
		}
	}

	/**
	 * Records how long a plain server took relative to its usual time.
	 * @param warm whether it had handled the same object before
	 * @param relativeMs time in milliseconds, for a server of the pool's usual speed
	 */
	void recordAffinity(boolean warm, double relativeMs) {
		if (warm) {
			this.warmStepMs = average(this.warmStepMs, relativeMs);
		}
		else {
			this.coldStepMs = average(this.coldStepMs, relativeMs);
		}
	}

	private static double average(double previous, double sample) {
		return Double.isNaN(previous) ? sample : previous + SAMPLE_WEIGHT * (sample - previous);
	}

	/**
	 * Returns the expected size of a response.
	 * @param request the request
	 * @return number of units; 1 without any response so far
	 */
	double expectedUnits(SlotRequest request) {
		if (request.maxTokens() > 0 && !Double.isNaN(this.unitsPerOutputToken)) {
			return Math.max(1, request.maxTokens() * this.unitsPerOutputToken);
		}
		return Double.isNaN(this.unitsPerResponse) ? 1 : this.unitsPerResponse;
	}

	/**
	 * Returns the saving at a plain server that has handled the same object before.
	 * @return fraction of the time of a request
	 */
	double affinityGain() {
		if (Double.isNaN(this.warmStepMs) || Double.isNaN(this.coldStepMs)) {
			return INITIAL_AFFINITY_GAIN;
		}
		return Math.max(0, 1 - this.warmStepMs / this.coldStepMs);
	}

	double stepMs() {
		return this.stepMs;
	}

	double prefillMs() {
		return this.prefillMs;
	}

}

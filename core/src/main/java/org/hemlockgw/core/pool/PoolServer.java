package org.hemlockgw.core.pool;

import java.util.List;

/**
 * Server of a pool with the requests in flight, its measured speed and its estimated
 * cache content. Not thread-safe.
 */
final class PoolServer {

	/** Weight of a new sample in the moving average; smooths over about 10 requests. */
	private static final double SAMPLE_WEIGHT = 0.1;

	/**
	 * Fraction by which requests on a full server take longer than on an idle one. It
	 * corresponds to the growth of a batched decode step.
	 */
	private static final double FULL_LOAD_SLOWDOWN = 0.25;

	/**
	 * Prompt tokens that an engine prefills per millisecond, as stated in the engine data
	 * sheet.
	 */
	private static final double PREFILL_TOKENS_PER_MS = 164;

	/**
	 * Time in milliseconds that a new connection takes: a round trip between data centres
	 * and the work of the server.
	 */
	private static final double CONNECT_MS = 4;

	private final PromptCache cache = new PromptCache();

	private PoolMember member;

	private int inFlight;

	private double msPerUnit = Double.NaN;

	private long avoidedUntilNanos = Long.MIN_VALUE / 2;

	PoolServer(PoolMember member) {
		this.member = member;
	}

	PoolMember member() {
		return this.member;
	}

	void setMember(PoolMember newMember) {
		this.member = newMember;
	}

	int inFlight() {
		return this.inFlight;
	}

	boolean hasFreeSlot() {
		return !this.member.draining() && this.inFlight < this.member.slots();
	}

	void occupy(List<PromptPart> prompt) {
		this.inFlight++;
		this.cache.markCached(prompt);
	}

	void release() {
		this.inFlight--;
	}

	/**
	 * Makes the server the last choice for some time.
	 * @param nanos end of that time
	 */
	void avoidUntil(long nanos) {
		this.avoidedUntilNanos = nanos;
	}

	boolean isAvoided(long nowNanos) {
		return this.avoidedUntilNanos - nowNanos > 0;
	}

	void recordDuration(double durationMs, int units) {
		double sample = durationMs / units;
		this.msPerUnit = Double.isNaN(this.msPerUnit) ? sample
				: this.msPerUnit + SAMPLE_WEIGHT * (sample - this.msPerUnit);
	}

	/**
	 * Returns the measured time for one unit of a response.
	 * @return time in milliseconds; NaN before the first response
	 */
	double msPerUnit() {
		return this.msPerUnit;
	}

	/**
	 * Estimates the time that a request would take on this server.
	 * @param request the request
	 * @param averageDurationMs average duration of a request of the pool in milliseconds
	 * @param averageMsPerUnit average time for one unit of a response in milliseconds; 0
	 * if it is unknown
	 * @return time in milliseconds
	 */
	double estimateMs(SlotRequest request, double averageDurationMs, double averageMsPerUnit) {
		double unitMs = Double.isNaN(this.msPerUnit) ? averageMsPerUnit : this.msPerUnit;
		double relativeDuration = (averageMsPerUnit > 0) ? unitMs / averageMsPerUnit : 1;
		double loadFactor = 1 + FULL_LOAD_SLOWDOWN * this.inFlight / Math.max(1, this.member.slots());
		double savedPrefillMs = this.cache.countCachedTokens(request.prompt()) / PREFILL_TOKENS_PER_MS;
		double connectMs = request.connected().contains(this.member.id()) ? 0 : CONNECT_MS;
		return averageDurationMs * relativeDuration * loadFactor - savedPrefillMs + connectMs;
	}

}

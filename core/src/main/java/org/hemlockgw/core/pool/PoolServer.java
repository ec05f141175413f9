package org.hemlockgw.core.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.StableHash;

/**
 * Server of a pool with the requests in flight, its learned speed, and the estimated use
 * of its memory. Not thread-safe.
 */
final class PoolServer {

	/**
	 * Fraction by which each further request makes a step longer. It corresponds to the
	 * growth of a batched decode step; it isn't relative to the slots, because servers of
	 * different sizes would then seem to have different speeds.
	 */
	private static final double SLOWDOWN_PER_REQUEST = 0.03;

	/**
	 * Step of the weight's logarithm, the deviation of shares that is allowed.
	 */
	private static final double WEIGHT_STEP = Math.log(1.05);

	/**
	 * Number of steps by which the speed must differ to change the weight; about four
	 * times the error of the median.
	 */
	private static final double WEIGHT_HYSTERESIS = 2.5;

	private final PromptCache cache = new PromptCache();

	private final ServerSpeed speed = new ServerSpeed();

	private final Map<String, Occupation> occupations = new HashMap<>();

	private final long hash;

	private PoolMember member;

	private long runningTokens;

	private long outputTokens;

	private double speedStep;

	private double recentRequests;

	private @Nullable String reservedFor;

	private long avoidedUntilNanos = Long.MIN_VALUE / 2;

	PoolServer(PoolMember member) {
		this.member = member;
		this.hash = StableHash.of(member.id());
	}

	PoolMember member() {
		return this.member;
	}

	void setMember(PoolMember newMember) {
		this.member = newMember;
	}

	long hash() {
		return this.hash;
	}

	ServerSpeed speed() {
		return this.speed;
	}

	int inFlight() {
		return this.occupations.size();
	}

	boolean hasFreeSlot() {
		return freeSlots() > 0;
	}

	int freeSlots() {
		return this.member.draining() ? 0 : Math.max(0, this.member.slots() - inFlight());
	}

	/**
	 * Keeps free slots and memory for one request.
	 * @param request identifier of the request; null for any
	 */
	void reserveFor(@Nullable String request) {
		this.reservedFor = request;
	}

	boolean isOpenTo(String request) {
		return this.reservedFor == null || this.reservedFor.equals(request);
	}

	/**
	 * Returns whether a request fits into the memory besides the running ones.
	 * @param tokens tokens of its prompt and its response
	 * @param memoryTokens memory of the server in tokens; 0 if unknown
	 * @return whether it fits; always true for an idle server
	 */
	boolean hasMemory(long tokens, int memoryTokens) {
		return memoryTokens == 0 || this.occupations.isEmpty()
				|| this.runningTokens + Math.min(tokens, memoryTokens) <= memoryTokens;
	}

	long runningTokens() {
		return this.runningTokens;
	}

	/**
	 * Occupies a slot. Callers declare the tokens, so a request counts with no more than
	 * the memory of the server.
	 * @param request the request
	 * @param memoryTokens memory of the server in tokens; 0 if unknown
	 */
	void occupy(SlotRequest request, int memoryTokens) {
		long promptTokens = countTokens(request.prompt());
		long output = Math.max(0, request.maxTokens());
		if (memoryTokens > 0) {
			promptTokens = Math.min(promptTokens, memoryTokens);
			output = Math.min(output, memoryTokens - promptTokens);
		}
		Occupation occupation = new Occupation(promptTokens, output, uncachedTokens(request.prompt()), inFlight() + 1);
		this.occupations.put(request.id(), occupation);
		this.runningTokens += promptTokens + output;
		this.outputTokens += output;
		// Prompts of running requests are in the cache, their responses are not.
		this.cache.markCached(request.prompt(),
				(memoryTokens == 0) ? Long.MAX_VALUE : memoryTokens - this.outputTokens);
	}

	/**
	 * Releases a slot.
	 * @param request identifier of the request
	 * @return what the request occupied; null if it held no slot
	 */
	@Nullable Occupation release(String request) {
		Occupation occupation = this.occupations.remove(request);
		if (occupation != null) {
			this.runningTokens -= occupation.promptTokens() + occupation.outputTokens();
			this.outputTokens -= occupation.outputTokens();
		}
		return occupation;
	}

	void recordTiming(Occupation occupation, ResponseTiming timing, double durationMs, long nowNanos) {
		int batch = (occupation.batch() + inFlight() + 1) / 2;
		this.speed.record(timing, durationMs, occupation.uncachedTokens(), loadFactor(batch),
				occupation.promptTokens() > 0, nowNanos);
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

	long uncachedTokens(List<PromptPart> prompt) {
		return countTokens(prompt) - this.cache.countCachedTokens(prompt);
	}

	long cachedTokens(List<PromptPart> prompt) {
		return this.cache.countCachedTokens(prompt);
	}

	/**
	 * Returns the slowdown of a request by those that already run.
	 * @return factor, 1 for an idle server
	 */
	double loadFactor() {
		return loadFactor(inFlight() + 1);
	}

	private static double loadFactor(int batch) {
		return 1 + SLOWDOWN_PER_REQUEST * (batch - 1);
	}

	/**
	 * Updates the weight with the learned speed. The speed is rounded to steps and
	 * changes only by more than the hysteresis, so that noise doesn't move sessions.
	 * @param relativeSpeed speed relative to the pool; NaN if unknown
	 */
	void updateSpeedStep(double relativeSpeed) {
		double step = Double.isNaN(relativeSpeed) ? 0 : Math.log(relativeSpeed) / WEIGHT_STEP;
		if (Math.abs(step - this.speedStep) > WEIGHT_HYSTERESIS) {
			this.speedStep = Math.rint(step);
		}
	}

	/**
	 * Returns the share of the pool's requests that the server should receive.
	 * @return slots times relative speed
	 */
	double weight() {
		return this.member.slots() * Math.exp(this.speedStep * WEIGHT_STEP);
	}

	/**
	 * Returns the number of recent requests in the unit of {@link RequestShares}.
	 * @return weighted number of requests
	 */
	double recentRequests() {
		return this.recentRequests;
	}

	void setRecentRequests(double requests) {
		this.recentRequests = requests;
	}

	static long countTokens(List<PromptPart> prompt) {
		long tokens = 0;
		for (PromptPart part : prompt) {
			tokens += Math.max(0, part.tokens());
		}
		return tokens;
	}

	/**
	 * What a running request occupies.
	 *
	 * @param promptTokens tokens of its prompt
	 * @param outputTokens maximum number of tokens of its response
	 * @param uncachedTokens tokens of its prompt that the server had to read
	 * @param batch number of requests at the server including this one
	 */
	record Occupation(long promptTokens, long outputTokens, long uncachedTokens, int batch) {
	}

}

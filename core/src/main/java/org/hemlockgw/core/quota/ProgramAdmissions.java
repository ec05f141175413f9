package org.hemlockgw.core.quota;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Programs of one client account that were admitted recently, and the learned number of
 * requests of a program.
 */
final class ProgramAdmissions {

	/**
	 * Maximum number of remembered programs; a large account begins some 25 programs per
	 * second, which last a few seconds.
	 */
	private static final int MAX_PROGRAMS = 1024;

	/**
	 * Requests of a program before any were observed. Both deployments have programs of 3
	 * to 11 turns; a small value admits too many rather than too few.
	 */
	private static final double INITIAL_REQUESTS = 3;

	/** Number of programs that the initial value counts for. */
	private static final double INITIAL_WEIGHT = 5;

	/** Time constant in seconds with which observations lose weight. */
	private static final double DECAY_SECONDS = 60;

	private final long windowNanos;

	private final Map<Integer, Boolean> known = new LinkedHashMap<>(16, 0.75f, true);

	private final ArrayDeque<Long> admissions = new ArrayDeque<>();

	private double programs;

	private double requests;

	private long observedNanos;

	ProgramAdmissions(double windowSeconds, long nowNanos) {
		this.windowNanos = (long) (windowSeconds * 1e9);
		this.observedNanos = nowNanos;
	}

	/**
	 * Returns whether a request begins a program that was not admitted before.
	 * @param request the request
	 * @return whether the program is new
	 */
	boolean isNew(PermitRequest request) {
		return request.mayBegin() && !this.known.containsKey(request.program());
	}

	/**
	 * Returns the requests per window that the programs admitted in the window need.
	 * @param nowNanos current time
	 * @return expected number of requests
	 */
	double expectedRequests(long nowNanos) {
		while (!this.admissions.isEmpty() && nowNanos - this.admissions.getFirst() >= this.windowNanos) {
			this.admissions.removeFirst();
		}
		return this.admissions.size() * requestsPerProgram();
	}

	/**
	 * Returns the time until a new program fits, if no other is admitted.
	 * @param nowNanos current time
	 * @param limit requests per window that running programs may need
	 * @return time in nanoseconds
	 */
	long nanosToFit(long nowNanos, double limit) {
		int remaining = this.admissions.size();
		long wait = 0;
		for (long admission : this.admissions) {
			if (remaining * requestsPerProgram() < limit) {
				break;
			}
			remaining--;
			wait = admission + this.windowNanos - nowNanos;
		}
		return wait;
	}

	double requestsPerProgram() {
		return (INITIAL_WEIGHT * INITIAL_REQUESTS + this.requests) / (INITIAL_WEIGHT + this.programs);
	}

	void recordGrant(PermitRequest request, long nowNanos) {
		if (request.program() == 0) {
			return;
		}
		double factor = Math.exp(-Math.max(0, nowNanos - this.observedNanos) / 1e9 / DECAY_SECONDS);
		this.observedNanos = nowNanos;
		this.programs *= factor;
		this.requests = this.requests * factor + 1;
		if (!isNew(request)) {
			this.known.computeIfPresent(request.program(), (program, value) -> value);
			return;
		}
		this.programs++;
		this.admissions.addLast(nowNanos);
		this.known.put(request.program(), Boolean.TRUE);
		if (this.known.size() > MAX_PROGRAMS) {
			Iterator<Integer> oldest = this.known.keySet().iterator();
			oldest.next();
			oldest.remove();
		}
		if (this.admissions.size() > MAX_PROGRAMS) {
			this.admissions.removeFirst();
		}
	}

}

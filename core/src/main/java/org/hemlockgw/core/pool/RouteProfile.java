package org.hemlockgw.core.pool;

import java.util.Arrays;

/**
 * Learned shape of the programs of one route: time in a slot of a turn, time between two
 * turns, and how many turns follow. Not thread-safe.
 */
final class RouteProfile {

	/** Number of turns that are told apart; later turns count as this one. */
	private static final int MAX_TURNS = 32;

	/**
	 * Probability that another turn follows, before the first observation; a program of 4
	 * turns.
	 */
	private static final double INITIAL_CONTINUATION = 0.75;

	/** Number of samples over which averages are taken. */
	private static final int MAX_SAMPLES = 50;

	/**
	 * Number of pauses over which their average is taken. It is smaller because few
	 * programs are left to show that slow tools have recovered.
	 */
	private static final int MAX_PAUSE_SAMPLES = 20;

	/**
	 * Number of latest pauses that must be long as well, so that programs are taken again
	 * soon after the tools have recovered.
	 */
	private static final int LATEST_PAUSES = 4;

	/**
	 * Number of programs that must have ended before their length can be compared with
	 * their objective; the first programs to be observed go on, because ends are noticed
	 * later.
	 */
	private static final int MIN_ENDED = 20;

	/**
	 * Time in milliseconds in which the excess of the pauses over the shortest known ones
	 * halves without a new sample. Without it, an outage of the tools kept a route closed
	 * after they had recovered, because no program was left to show that.
	 */
	private static final double PAUSE_HALF_LIFE_MS = 1000;

	private static final double NANOS_PER_MS = 1_000_000;

	private final double[] continuation = new double[MAX_TURNS];

	private final int[] continuationSamples = new int[MAX_TURNS];

	private final Average turnMs = new Average(MAX_SAMPLES);

	private final Average pauseMs = new Average(MAX_PAUSE_SAMPLES);

	private final Average latestPauseMs = new Average(LATEST_PAUSES);

	private final Average activeAtPause = new Average(MAX_PAUSE_SAMPLES);

	private int activePrograms;

	private long endedPrograms;

	private final Average objectiveMs = new Average(MAX_SAMPLES);

	private double shortestPauseMs = Double.MAX_VALUE;

	private long pausedNanos;

	RouteProfile() {
		Arrays.fill(this.continuation, INITIAL_CONTINUATION);
	}

	void recordTurn(double durationMs) {
		this.turnMs.add(durationMs);
	}

	void recordPause(double durationMs, long nowNanos) {
		this.pausedNanos = nowNanos;
		this.pauseMs.add(durationMs);
		this.latestPauseMs.add(durationMs);
		this.activeAtPause.add(this.activePrograms);
		if (this.pauseMs.samples == MAX_PAUSE_SAMPLES) {
			this.shortestPauseMs = Math.min(this.shortestPauseMs, this.pauseMs.value);
		}
	}

	/**
	 * Records whether a program has gone on.
	 * @param turnsDone number of turns that it had completed
	 * @param continued whether another turn followed
	 */
	void recordContinuation(int turnsDone, boolean continued) {
		int i = Math.min(turnsDone, MAX_TURNS - 1);
		this.endedPrograms += continued ? 0 : 1;
		this.continuationSamples[i] = Math.min(this.continuationSamples[i] + 1, MAX_SAMPLES);
		this.continuation[i] += ((continued ? 1 : 0) - this.continuation[i]) / this.continuationSamples[i];
	}

	double continuation(int turnsDone) {
		return this.continuation[Math.min(turnsDone, MAX_TURNS - 1)];
	}

	/**
	 * Returns the probability that another turn follows after some time without one.
	 * @param turnsDone number of turns that the program has completed
	 * @param idleMs time since the last one in milliseconds
	 * @return probability for exponentially distributed pauses
	 */
	double continuationAfter(int turnsDone, double idleMs) {
		double probability = continuation(turnsDone);
		double waiting = probability * Math.exp(-idleMs / Math.max(1, this.pauseMs.value));
		return waiting / (waiting + 1 - probability + Double.MIN_NORMAL);
	}

	/**
	 * Returns the expected number of turns that a program still runs.
	 * @param turnsDone number of turns that it has completed; another one is about to run
	 * @return number of turns, at least 1
	 */
	double remainingTurns(int turnsDone) {
		double turns = 1;
		double probability = 1;
		for (int i = turnsDone + 1; i < MAX_TURNS; i++) {
			probability *= this.continuation[i];
			turns += probability;
		}
		return turns;
	}

	/**
	 * Returns the expected time until a program is complete if it never waits.
	 * @param turnsDone number of turns that it has completed; another one is about to run
	 * @return time in milliseconds; 0 before the first observation
	 */
	double remainingMs(int turnsDone) {
		double turns = remainingTurns(turnsDone);
		return turns * this.turnMs.value + (turns - 1) * this.pauseMs.value;
	}

	/**
	 * Returns the average number of slots that a program under way occupies.
	 * @return number between 0 and 1
	 */
	double slotsPerProgram() {
		double cycleMs = this.turnMs.value + this.pauseMs.value;
		return (cycleMs == 0) ? 1 : this.turnMs.value / cycleMs;
	}

	/**
	 * Records the objective of a program at its first request.
	 * @param durationMs time in milliseconds until the program is late
	 */
	void recordObjective(long durationMs) {
		this.objectiveMs.add(durationMs);
	}

	double turnMs() {
		return this.turnMs.value;
	}

	double pauseMs() {
		return this.pauseMs.value;
	}

	void changeActivePrograms(int change) {
		this.activePrograms += change;
	}

	/**
	 * Returns whether the time between turns has grown so much that another program would
	 * miss its objective. The pauses of a saturated pool of tools are proportional to the
	 * number of programs, so fewer programs reopen the route. Without programs under way
	 * one may begin, which shows whether the tools have recovered.
	 * @param nowNanos current time
	 * @return whether pauses make programs late
	 */
	boolean isSlowedByPauses(long nowNanos) {
		if (this.activePrograms == 0 || this.pauseMs.samples < MAX_PAUSE_SAMPLES || this.endedPrograms < MIN_ENDED
				|| this.objectiveMs.samples == 0) {
			return false;
		}
		double turns = remainingTurns(0);
		double availableMs = this.objectiveMs.value - turns * this.turnMs.value;
		if ((turns - 1) * this.shortestPauseMs > availableMs) {
			return false;
		}
		double relativeCount = (this.activePrograms + 1) / Math.max(1, this.activeAtPause.value);
		double latestMs = Math.min(this.pauseMs.value, this.latestPauseMs.value);
		double decay = Math.pow(0.5, (nowNanos - this.pausedNanos) / NANOS_PER_MS / PAUSE_HALF_LIFE_MS);
		double currentPauseMs = this.shortestPauseMs + (latestMs - this.shortestPauseMs) * decay;
		return (turns - 1) * currentPauseMs * Math.min(1, relativeCount) > availableMs;
	}

	private static final class Average {

		private final int maxSamples;

		private double value;

		private int samples;

		Average(int maxSamples) {
			this.maxSamples = maxSamples;
		}

		void add(double sample) {
			this.samples = Math.min(this.samples + 1, this.maxSamples);
			this.value += (sample - this.value) / this.samples;
		}

	}

}

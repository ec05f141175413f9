package org.hemlockgw.core.pool;

import java.util.List;
import java.util.Set;

/**
 * Request for a slot at a backend server.
 *
 * @param id identifier of the caller's attempt
 * @param holder daemon that will use the slot
 * @param account name of the client account; empty for none
 * @param session identifier of the session whose requests share a prompt prefix or state;
 * empty for none
 * @param route name of the route; empty for none
 * @param program identifier of the program within the account; empty for none
 * @param priority priority of the request; 0 is the highest
 * @param programStarted whether the program has already run a turn
 * @param programRemainingMs time in milliseconds until the whole program is late;
 * negative if it is late already, {@link Long#MAX_VALUE} if unknown
 * @param objectiveMs latency objective of the request in milliseconds
 * @param remainingMs time until the caller's deadline in milliseconds
 * @param prompt parts of the prompt in order; empty for a plain service
 * @param maxTokens maximum number of tokens that the response contains; 0 if unknown
 * @param excluded servers that have already failed this request
 * @param connected servers to which the daemon has an idle connection
 */
public record SlotRequest(String id, String holder, String account, String session, String route, String program,
		int priority, boolean programStarted, long programRemainingMs, long objectiveMs, long remainingMs,
		List<PromptPart> prompt, int maxTokens, Set<String> excluded, Set<String> connected) {

	/**
	 * Longest time that the first request of a program waits for a slot, as a fraction of
	 * its objective.
	 */
	private static final double NEW_PROGRAM_WAIT_FRACTION = 0.25;

	/** Longest time of a request in milliseconds. */
	private static final long MAX_TIME_MS = 1_000_000_000;

	/**
	 * Limits the times that callers declare, which would overflow in nanoseconds.
	 */
	public SlotRequest {
		remainingMs = limit(remainingMs);
		objectiveMs = limit(objectiveMs);
		programRemainingMs = (programRemainingMs == Long.MAX_VALUE) ? programRemainingMs : limit(programRemainingMs);
	}

	// Only turns of programs have a prompt.
	boolean isNewProgram() {
		return !this.programStarted && !this.prompt.isEmpty();
	}

	/**
	 * Returns the longest time that the request waits for a slot. A program that has
	 * already started is to be completed, so its requests may wait until their deadline.
	 * A new program is refused early, while its caller still has time to return within
	 * the objective.
	 * @return time in milliseconds
	 */
	long maxWaitMs() {
		if (this.programStarted) {
			return this.remainingMs;
		}
		long waitMs = isNewProgram() ? Math.round(NEW_PROGRAM_WAIT_FRACTION * this.objectiveMs) : this.objectiveMs;
		return Math.min(waitMs, this.remainingMs);
	}

	private static long limit(long timeMs) {
		return Math.max(-MAX_TIME_MS, Math.min(timeMs, MAX_TIME_MS));
	}

	/**
	 * Creates a request without a route and a program.
	 * @param id identifier of the caller's attempt
	 * @param holder daemon that will use the slot
	 * @param account name of the client account
	 * @param session identifier of the session
	 * @param priority priority of the request
	 * @param programStarted whether the program has already run a turn
	 * @param programRemainingMs time in milliseconds until the whole program is late
	 * @param objectiveMs latency objective of the request in milliseconds
	 * @param remainingMs time until the caller's deadline in milliseconds
	 * @param prompt parts of the prompt in order
	 * @param maxTokens maximum number of tokens that the response contains
	 * @param excluded servers that have already failed this request
	 * @param connected servers to which the daemon has an idle connection
	 */
	public SlotRequest(String id, String holder, String account, String session, int priority, boolean programStarted,
			long programRemainingMs, long objectiveMs, long remainingMs, List<PromptPart> prompt, int maxTokens,
			Set<String> excluded, Set<String> connected) {
		this(id, holder, account, session, "", "", priority, programStarted, programRemainingMs, objectiveMs,
				remainingMs, prompt, maxTokens, excluded, connected);
	}

}

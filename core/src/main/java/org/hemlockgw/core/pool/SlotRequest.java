package org.hemlockgw.core.pool;

import java.util.List;
import java.util.Set;

/**
 * Request for a slot at a backend server.
 *
 * @param id identifier of the caller's attempt
 * @param holder daemon that will use the slot
 * @param priority rank; 0 is the highest
 * @param programStarted whether the program has run a turn before
 * @param objectiveMs time within which the answer is on time
 * @param remainingMs time until the caller gives up
 * @param prompt parts of the prompt in order; empty for a plain service
 * @param excluded servers that have failed this request
 */
public record SlotRequest(String id, String holder, int priority, boolean programStarted, long objectiveMs,
		long remainingMs, List<PromptPart> prompt, Set<String> excluded) {
}

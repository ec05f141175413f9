package org.hemlockgw.gateway.entry;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.PromptPart;

/**
 * What a caller's headers say, in the product's terms.
 *
 * @param id identifier of this attempt; empty if missing
 * @param host host that the request names
 * @param path path without query
 * @param deadlineMs how long the caller waits in milliseconds; 0 if not said
 * @param program program that the request belongs to; null for none
 * @param programDeadlineMs time left for the whole program in milliseconds; 0 if not said
 * @param tokenBudget most tokens that the program may generate; negative if not said
 * @param maxTokens most tokens that this turn generates
 * @param previousTurn turn that this one continues; null at the start of a chain
 * @param prompt parts of the prompt in order
 */
public record CallerRequest(String id, String host, String path, long deadlineMs, @Nullable String program,
		long programDeadlineMs, long tokenBudget, int maxTokens, @Nullable String previousTurn,
		List<PromptPart> prompt) {
}

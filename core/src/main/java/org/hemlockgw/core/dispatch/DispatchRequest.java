package org.hemlockgw.core.dispatch;

import java.time.Instant;
import java.util.List;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.Message;

/**
 * One attempt of a model turn on one engine.
 *
 * @param program the program, which names the engine's cache session
 * @param attemptId unique among all attempts; the engine's request identifier
 * @param engine name of the backend server
 * @param model model name
 * @param messages the whole history and the new messages
 * @param partialAnswer tokens already delivered, to be continued; empty at first
 * @param firstOffset offset of the first token to deliver; the number of tokens in
 * {@code partialAnswer}
 * @param maxTokens most tokens to generate, {@code partialAnswer} included
 * @param attainedTokens tokens that the program has been served so far, for queue order
 * @param estimatedPromptTokens estimated prompt length
 * @param estimatedCachedTokens estimated part that the engine's cache holds
 * @param suspect whether an engine has died under this content; suspects run one at a
 * time on an engine
 * @param deadline when the caller stops waiting
 * @param traceparent W3C trace context, or empty
 */
public record DispatchRequest(ProgramId program, String attemptId, String engine, String model, List<Message> messages,
		String partialAnswer, long firstOffset, int maxTokens, long attainedTokens, long estimatedPromptTokens,
		long estimatedCachedTokens, boolean suspect, Instant deadline, String traceparent) {
}

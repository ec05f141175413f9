package org.hemlockgw.core.dispatch;

import java.time.Instant;
import java.util.List;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.program.Message;

/**
 * Request for one attempt of a model turn on one engine.
 *
 * @param program identifier of the program; also names the cache session on the engine
 * @param attemptId identifier that is unique among all attempts; used as the request
 * identifier on the engine
 * @param engine name of the backend server
 * @param model model name
 * @param messages the complete history followed by the new messages
 * @param partialAnswer text already delivered by earlier attempts, to be continued; empty
 * for the first attempt
 * @param firstOffset offset of the first token to deliver; the number of tokens in
 * {@code partialAnswer}
 * @param maxTokens maximum number of tokens to generate, including {@code partialAnswer}
 * @param attainedTokens tokens with which the program has been served so far; determines
 * the queue order
 * @param estimatedPromptTokens estimated length of the prompt
 * @param estimatedCachedTokens estimated number of prompt tokens cached by the engine
 * @param suspect whether an engine has crashed while processing this content; an engine
 * runs at most one suspect request at a time
 * @param deadline time at which the caller stops waiting
 * @param traceparent W3C trace context, or empty
 */
public record DispatchRequest(ProgramId program, String attemptId, String engine, String model, List<Message> messages,
		String partialAnswer, long firstOffset, int maxTokens, long attainedTokens, long estimatedPromptTokens,
		long estimatedCachedTokens, boolean suspect, Instant deadline, String traceparent) {
}

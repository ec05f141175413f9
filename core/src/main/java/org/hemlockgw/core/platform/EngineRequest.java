package org.hemlockgw.core.platform;

import java.util.List;

import org.hemlockgw.core.program.Message;

/**
 * A generation request to an engine.
 *
 * @param requestId identifier of the stream, used to resume or cancel it
 * @param session name of the cache session
 * @param model model name
 * @param messages messages of the prompt
 * @param partialAnswer partial answer to continue, or empty
 * @param firstOffset number of tokens in {@code partialAnswer}
 * @param maxTokens maximum number of tokens of the answer, including
 * {@code partialAnswer}
 * @param traceparent W3C trace context, or empty
 */
public record EngineRequest(String requestId, String session, String model, List<Message> messages,
		String partialAnswer, long firstOffset, int maxTokens, String traceparent) {
}

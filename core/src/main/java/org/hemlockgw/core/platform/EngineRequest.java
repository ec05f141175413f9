package org.hemlockgw.core.platform;

import java.util.List;

import org.hemlockgw.core.program.Message;

/**
 * A generation request to an engine.
 *
 * @param requestId identifies the stream for resume and cancel
 * @param session cache session
 * @param model model name
 * @param messages the prompt
 * @param partialAnswer answer so far, to be continued; empty for none
 * @param firstOffset number of tokens in {@code partialAnswer}
 * @param maxTokens most tokens of the answer, {@code partialAnswer} included
 * @param traceparent W3C trace context, or empty
 */
public record EngineRequest(String requestId, String session, String model, List<Message> messages,
		String partialAnswer, long firstOffset, int maxTokens, String traceparent) {
}

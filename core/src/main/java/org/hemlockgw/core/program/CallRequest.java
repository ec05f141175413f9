package org.hemlockgw.core.program;

import java.time.Instant;
import java.util.List;

import org.hemlockgw.core.common.ProgramId;

/**
 * One call of a program.
 *
 * @param program the program
 * @param requestId idempotency key, unique within the program
 * @param step step number in the program, from 1, or 0 to run in order of arrival
 * @param kind model turn or service call
 * @param target model name, or backend server name of a plain service
 * @param idempotent whether the call may run more than once
 * @param append whether {@code messages} contains only the new messages instead of the
 * full history
 * @param messages messages of a model turn; empty for a service call
 * @param maxTokens maximum number of tokens to generate
 * @param path URL path of a service call; empty for a model turn
 * @param body request body of a service call
 * @param deadline time at which the caller stops waiting
 * @param traceparent W3C trace context of the caller, or empty
 */
public record CallRequest(ProgramId program, String requestId, long step, CallKind kind, String target,
		boolean idempotent, boolean append, List<Message> messages, int maxTokens, String path, byte[] body,
		Instant deadline, String traceparent) {
}

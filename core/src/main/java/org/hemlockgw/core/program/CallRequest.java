package org.hemlockgw.core.program;

import java.time.Instant;
import java.util.List;

import org.hemlockgw.core.common.ProgramId;

/**
 * One call of a program.
 *
 * @param program the program
 * @param requestId idempotency key, unique within the program
 * @param step position in the program's order from 1, or 0 for order of arrival
 * @param kind model turn or service call
 * @param target model name, or name of the backend server of a plain service
 * @param idempotent whether it may run more than once
 * @param append whether {@code messages} holds only new messages instead of the whole
 * history
 * @param messages messages of a model turn; empty for a service call
 * @param maxTokens most tokens to generate
 * @param path path of a service call; empty for a model turn
 * @param body body of a service call
 * @param deadline when the caller stops waiting
 * @param traceparent W3C trace context of the caller's side, or empty
 */
public record CallRequest(ProgramId program, String requestId, long step, CallKind kind, String target,
		boolean idempotent, boolean append, List<Message> messages, int maxTokens, String path, byte[] body,
		Instant deadline, String traceparent) {
}

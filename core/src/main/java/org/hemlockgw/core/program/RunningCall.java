package org.hemlockgw.core.program;

import java.util.List;

/**
 * The admitted call of a program.
 *
 * @param requestId idempotency key
 * @param digest digest of the request
 * @param step step, or 0
 * @param kind model turn or service call
 * @param idempotent whether it may run more than once
 * @param reserved reserved upper bound of one attempt, in tokens
 * @param newMessages messages that a model turn adds to the history
 */
public record RunningCall(String requestId, String digest, long step, CallKind kind, boolean idempotent, long reserved,
		List<Message> newMessages) {

	public RunningCall {
		newMessages = List.copyOf(newMessages);
	}

}

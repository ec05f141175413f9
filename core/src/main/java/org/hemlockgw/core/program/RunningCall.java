package org.hemlockgw.core.program;

import java.util.List;

/**
 * The call of a program that was admitted and is running.
 *
 * @param requestId idempotency key
 * @param digest digest of the request
 * @param step step number, or 0 for none
 * @param kind model turn or service call
 * @param idempotent whether the call may run more than once
 * @param reserved tokens reserved as the upper bound of one attempt
 * @param newMessages messages that a model turn adds to the history
 */
public record RunningCall(String requestId, String digest, long step, CallKind kind, boolean idempotent, long reserved,
		List<Message> newMessages) {

	public RunningCall {
		newMessages = List.copyOf(newMessages);
	}

}

package org.hemlockgw.core.program;

/**
 * Result of a call with verdict {@code RAN}.
 *
 * @param text full response text of a model turn; empty for a service call
 * @param usage token usage of a model turn
 * @param finishReason {@code stop} or {@code length}; empty for a service call
 * @param status HTTP status of a service call; 200 for a model turn
 * @param body response body of a service call
 * @param turn number of the turn in the program, from 1; 0 for a service call
 * @param durable whether the record of the call is in the log; owners release no result
 * before
 */
public record CallResult(String text, Usage usage, String finishReason, int status, byte[] body, int turn,
		boolean durable) {

	public CallResult(String text, Usage usage, String finishReason, int status, byte[] body, int turn) {
		this(text, usage, finishReason, status, body, turn, true);
	}

	public CallResult withDurable(boolean value) {
		return new CallResult(this.text, this.usage, this.finishReason, this.status, this.body, this.turn, value);
	}

}

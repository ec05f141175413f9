package org.hemlockgw.systemtest;

/**
 * What a caller got. Exactly one of a whole answer and an error is present.
 *
 * @param status HTTP status; 0 when the connection broke
 * @param verdict verdict of the response, or {@code RAN} for a whole answer
 * @param code error code; empty for none
 * @param text answer text, or body of a service call
 * @param totalTokens tokens charged by this call
 * @param done whether the stream ended with its end marker
 */
record Answer(int status, String verdict, String code, String text, long totalTokens, boolean done) {

	boolean ok() {
		return this.status >= 200 && this.status < 300 && this.code.isEmpty() && this.done;
	}

}

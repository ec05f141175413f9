package org.hemlockgw.gateway.entry;

/**
 * Response of this daemon to a request that has not run and is not sent to a server.
 *
 * @param status HTTP status
 * @param retryAfterMs time in milliseconds after which the caller may try again; 0 for
 * none
 * @param reason text of the response
 */
record Refusal(int status, long retryAfterMs, String reason) {

	/**
	 * Retry-After in milliseconds if memory is short; about the time in which a client
	 * that makes no progress is disconnected.
	 */
	private static final long MEMORY_RETRY_AFTER_MS = 1000;

	static Refusal outOfMemory() {
		return new Refusal(503, MEMORY_RETRY_AFTER_MS, "too many requests are being received");
	}

	static Refusal bodyTooLarge() {
		return new Refusal(413, 0, "request body is too large");
	}

}

package org.hemlockgw.gateway.entry;

/**
 * Learns that a request ends without a whole answer.
 */
interface RequestFailureListener {

	/**
	 * The caller has got nothing and gets an answer of this daemon's own.
	 * @param status status of the answer
	 * @param retryAfterMs when to come back in milliseconds; 0 if not said
	 * @param reason text of the answer
	 */
	void refused(int status, long retryAfterMs, String reason);

	/**
	 * An answer that has begun can't go on.
	 * @param cause what happened
	 */
	void aborted(String cause);

}

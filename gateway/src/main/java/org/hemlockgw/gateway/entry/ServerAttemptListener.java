package org.hemlockgw.gateway.entry;

/**
 * Receives the responses and failures of {@link ServerAttempts}.
 */
interface ServerAttemptListener extends RequestFailureListener {

	/**
	 * Called when a part of a response was received.
	 * @param relay the response
	 */
	void received(ResponseRelay relay);

	/**
	 * Called when the complete response to the request was received.
	 * @param relay the response
	 * @param status its HTTP status code
	 */
	void answered(ResponseRelay relay, int status);

}

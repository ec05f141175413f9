package org.hemlockgw.remote;

/**
 * Which connection a request may take.
 */
enum ConnectionUse {

	/**
	 * A new one. A request on a reused connection may meet one that the server has just
	 * closed, and then nothing proves that it did not run.
	 */
	NEW,

	/** A reused one. */
	REUSED,

	/**
	 * A reused one, and a new one when that breaks ahead of the response. For requests
	 * that may run twice.
	 */
	REUSED_WITH_RETRY

}

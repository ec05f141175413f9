package org.hemlockgw.core.route;

/**
 * Execution semantics of a request and form of its response.
 */
public enum RequestKind {

	/** The request is idempotent and may be executed more than once. */
	REPEATABLE,

	/** The request is executed at most once per attempt of the caller. */
	ONCE,

	/** The request is executed at most once; its response is a stream of events. */
	STREAMING;

	/**
	 * Returns whether a request that may already have been executed can be sent again.
	 * @return true only for repeatable requests
	 */
	public boolean isRepeatable() {
		return this == REPEATABLE;
	}

}

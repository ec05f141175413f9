package org.hemlockgw.core.route;

/**
 * Tells how often a request may run and how its answer arrives.
 */
public enum RequestKind {

	/** May run more than once. */
	REPEATABLE,

	/** Runs at most once for each attempt of the caller. */
	ONCE,

	/** Runs at most once; its answer is a series of events. */
	STREAMING;

	/**
	 * Tells whether a request that may have run can be sent again.
	 * @return true only for repeatable requests
	 */
	public boolean isRepeatable() {
		return this == REPEATABLE;
	}

}

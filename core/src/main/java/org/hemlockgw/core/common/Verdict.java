package org.hemlockgw.core.common;

/**
 * Tells whether a request may have had an effect on its backend server. Every failed
 * request carries one, so that a caller knows whether sending it again is safe.
 */
public enum Verdict {

	/** The request provably had no effect. Sending it again is safe. */
	NOT_RUN,

	/** The request may or may not have had its effect. */
	MAY_HAVE_RUN,

	/** The request had its effect. */
	RAN

}

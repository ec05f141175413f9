package org.hemlockgw.core.common;

/**
 * Whether a request had an effect on its backend server. Every failure has a verdict, so
 * that the caller can decide whether a retry is safe.
 */
public enum Verdict {

	/** The request is known to have had no effect. A retry is safe. */
	NOT_RUN,

	/** It is unknown whether the request had an effect. */
	MAY_HAVE_RUN,

	/** The request took effect. */
	RAN

}

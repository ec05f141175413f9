package org.hemlockgw.core.program;

/**
 * Kind of backend server that a call goes to.
 */
public enum CallKind {

	/** A turn of a model engine. Always idempotent. */
	MODEL,

	/** A call to a plain service. */
	SERVICE

}

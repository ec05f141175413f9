package org.hemlockgw.core.config;

/**
 * Kind of backend server.
 */
public enum BackendKind {

	/** A model engine. */
	ENGINE,

	/** A plain service. */
	SERVICE

}

package org.hemlockgw.core.config;

/**
 * Scheduling policy: which goal takes precedence.
 */
public enum Policy {

	/** Minimises the end-to-end latency of programs. */
	LATENCY_FIRST,

	/** Minimises wasted cache space. */
	CACHE_FIRST

}

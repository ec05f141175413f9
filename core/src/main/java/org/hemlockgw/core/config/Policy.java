package org.hemlockgw.core.config;

/**
 * What scheduling weighs more.
 */
public enum Policy {

	/** End-to-end latency of programs. */
	LATENCY_FIRST,

	/** Little wasted cache. */
	CACHE_FIRST

}

package org.hemlockgw.core.pool;

/**
 * Why a pool's scheduler refuses a request. No refused request has run.
 */
public enum RefusalReason {

	/** No server is available, or all have failed this request. */
	NO_SERVER,

	/** The request can't get a slot within its time. */
	EXPECTED_WAIT,

	/** The request has waited for its longest time. */
	WAITED,

	/** Requests of started programs wait too long for new programs to begin. */
	STARTED_PROGRAMS_WAIT,

	/** The programs under way need all slots, or all that the account may use. */
	ACCOUNT_DEMAND,

	/** The time between turns is too long for a new program to meet its objective. */
	SLOW_TOOLS

}

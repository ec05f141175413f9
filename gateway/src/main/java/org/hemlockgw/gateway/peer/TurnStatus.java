package org.hemlockgw.gateway.peer;

/**
 * Outcome of opening or closing a turn.
 */
public enum TurnStatus {

	/** Done. */
	OK,

	/** The daemon does not hold the shard, or not yet. */
	NOT_OWNER,

	/** The budget does not hold the turn. */
	BUDGET_SPENT,

	/** No daemon has the turn that is continued. */
	NO_SUCH_TURN,

	/** Some daemon that may have the turn did not answer. */
	UNCERTAIN

}

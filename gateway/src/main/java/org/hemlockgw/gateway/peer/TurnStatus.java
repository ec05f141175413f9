package org.hemlockgw.gateway.peer;

/**
 * Outcome of opening or closing a turn.
 */
public enum TurnStatus {

	/** The operation succeeded. */
	OK,

	/** The daemon does not hold the shard or has not loaded it yet. */
	NOT_OWNER,

	/** The remaining token budget is too small for the turn. */
	BUDGET_SPENT,

	/** No daemon has the turn that the new turn continues. */
	NO_SUCH_TURN,

	/** A daemon that may have the turn did not answer. */
	UNCERTAIN

}

package org.hemlockgw.gateway.owner;

import org.hemlockgw.core.quota.ClockReading;
import org.hemlockgw.core.store.ShardAssignment;

/**
 * Receives the assignments of shards to this daemon.
 */
public interface AssignmentListener {

	/** Listener that ignores all calls. */
	AssignmentListener NONE = (assignment, sent) -> {
	};

	/**
	 * Called for each response to a join, unless a newer one was received before.
	 * @param assignment shards of this daemon
	 * @param sent time at which the join was sent
	 */
	void assigned(ShardAssignment assignment, ClockReading sent);

	/**
	 * Called when this daemon gives up all shards before it leaves the group.
	 */
	default void released() {
	}

}

package org.hemlockgw.gateway.owner;

import org.hemlockgw.core.quota.ClockReading;
import org.hemlockgw.core.store.ShardAssignment;

/**
 * Receives the assignments of shards to this daemon.
 */
public interface AssignmentListener {

	/**
	 * Called for each response to a join, unless a newer one was received before.
	 * @param assignment shards of this daemon
	 * @param sent time at which the join was sent
	 */
	void assigned(ShardAssignment assignment, ClockReading sent);

}

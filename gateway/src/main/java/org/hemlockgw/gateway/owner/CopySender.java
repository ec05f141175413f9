package org.hemlockgw.gateway.owner;

import java.util.List;
import java.util.function.Consumer;

import org.hemlockgw.core.store.KeyedValue;

/**
 * Sends copies of records to other daemons while the store is unavailable.
 */
interface CopySender {

	/**
	 * Returns whether the store is unavailable and another daemon is known.
	 * @return whether records should be copied to other daemons
	 */
	boolean isCopyRequired();

	/**
	 * Sends copies of records to other daemons.
	 * @param shard number of the shard
	 * @param epoch epoch of its writer
	 * @param records the records
	 * @param done called with whether all selected daemons keep the copies
	 */
	void send(int shard, long epoch, List<KeyedValue> records, Consumer<Boolean> done);

}

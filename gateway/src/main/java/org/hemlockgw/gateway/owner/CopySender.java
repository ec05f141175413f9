package org.hemlockgw.gateway.owner;

import java.util.List;
import java.util.function.Consumer;

import org.hemlockgw.core.store.KeyedValue;

/**
 * Keeps records at other daemons while the store is away.
 */
interface CopySender {

	/**
	 * Tells whether the store is away.
	 * @return whether copies are wanted
	 */
	boolean isCopyRequired();

	/**
	 * Sends copies.
	 * @param shard number of the shard
	 * @param epoch epoch of its writer
	 * @param records the records
	 * @param done receives whether enough daemons keep them
	 */
	void send(int shard, long epoch, List<KeyedValue> records, Consumer<Boolean> done);

}

package org.hemlockgw.core.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * What the product asks of the platform's store. Futures complete on the event loop; they
 * fail when the outcome of a call is unknown or nothing was done, and the call may then
 * be repeated.
 */
public interface StateStore {

	/**
	 * Returns the number of shards; the same for all daemons.
	 * @return the number
	 */
	int shardCount();

	/**
	 * Appends records. A repeat with the same sequence number is done once only.
	 * @param shard number of the shard
	 * @param epoch writer's epoch; a higher one fences it
	 * @param sequence number of this append within the epoch, from 0
	 * @param records records; none only sets the epoch
	 * @return the outcome
	 */
	CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records);

	/**
	 * Reads the newest records of a shard.
	 * @param shard number of the shard
	 * @param after key to continue after; empty for the first page
	 * @return a page
	 */
	CompletableFuture<RecordPage> readLatest(int shard, String after);

	/**
	 * Joins the daemons' group or stays in it.
	 * @param member name of this daemon
	 * @param generation the last generation received; 0 at first
	 * @return what the member holds
	 */
	CompletableFuture<ShardAssignment> join(String member, long generation);

	CompletableFuture<Void> leave(String member);

	/**
	 * Returns the member that holds each shard.
	 * @return the current assignment
	 */
	CompletableFuture<ShardHolders> shardHolders();

}

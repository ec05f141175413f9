package org.hemlockgw.core.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Client interface of the platform's state store. Futures complete on the event loop. A
 * future fails if nothing was done or the outcome of the call is unknown; in both cases
 * the call may be repeated.
 */
public interface StateStore {

	/**
	 * Returns the number of shards, which is the same for all daemons.
	 * @return the number of shards
	 */
	int shardCount();

	/**
	 * Appends records to a shard. A call that is repeated with the same sequence number
	 * takes effect only once.
	 * @param shard number of the shard
	 * @param epoch epoch of the writer; a writer with a higher epoch fences it
	 * @param sequence sequence number of this append within the epoch, starting at 0
	 * @param records records to append; an empty list only registers the epoch
	 * @return the outcome
	 */
	CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records);

	/**
	 * Reads the latest record of each key of a shard.
	 * @param shard number of the shard
	 * @param after key after which the page starts; empty for the first page
	 * @return a page of records
	 */
	CompletableFuture<RecordPage> readLatest(int shard, String after);

	/**
	 * Joins the group of daemons or renews the membership.
	 * @param member name of this daemon
	 * @param generation last received generation number; 0 initially
	 * @return the shards assigned to the member
	 */
	CompletableFuture<ShardAssignment> join(String member, long generation);

	/**
	 * Leaves the group of daemons.
	 * @param member name of this daemon
	 * @return completes when the member has left
	 */
	CompletableFuture<Void> leave(String member);

	/**
	 * Returns the member that holds each shard.
	 * @return the current assignment
	 */
	CompletableFuture<ShardHolders> shardHolders();

}

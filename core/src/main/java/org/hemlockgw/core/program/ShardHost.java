package org.hemlockgw.core.program;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;

/**
 * The program owner as the ownership controller sees it.
 */
public interface ShardHost {

	/**
	 * Starts to serve a shard after its take-over.
	 * @param shard the shard
	 * @param epoch epoch of the claim
	 * @param programs its programs; unsettled grants count as spent, and open
	 * non-idempotent calls have verdict {@code MAY_HAVE_RUN}
	 */
	void startServing(ShardId shard, long epoch, Map<ProgramId, ProgramRecord> programs);

	/**
	 * Refuses new calls of a shard with {@code NOT_OWNER} and waits for open ones.
	 * @param shard the shard
	 * @return completes after the last open call
	 */
	CompletableFuture<Void> quiesce(ShardId shard);

	/**
	 * Stops serving a shard at once, after a release or a lost claim. Open calls fail.
	 * @param shard the shard
	 */
	void stopServing(ShardId shard);

	/**
	 * Returns the durable state of the live programs of some shards, for a checkpoint.
	 * @param shards the shards
	 * @return the state of each program
	 */
	Map<ProgramId, ProgramRecord> snapshot(Collection<ShardId> shards);

}

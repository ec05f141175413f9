package org.hemlockgw.core.program;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;

/**
 * Interface through which the ownership controller starts and stops serving shards in the
 * program owner.
 */
public interface ShardHost {

	/**
	 * Starts serving a shard after its takeover.
	 * @param shard the shard
	 * @param epoch epoch of the claim
	 * @param programs durable states of its programs, with unsettled grants counted as
	 * spent and open non-idempotent calls closed with the verdict {@code MAY_HAVE_RUN}
	 */
	void startServing(ShardId shard, long epoch, Map<ProgramId, ProgramRecord> programs);

	/**
	 * Rejects new calls of a shard with {@code NOT_OWNER} and waits for open calls.
	 * @param shard the shard
	 * @return completes when the last open call has ended
	 */
	CompletableFuture<Void> quiesce(ShardId shard);

	/**
	 * Stops serving a shard immediately after a release or a lost claim. Open calls fail.
	 * @param shard the shard
	 */
	void stopServing(ShardId shard);

	/**
	 * Returns the durable states of the live programs of some shards, for a checkpoint.
	 * @param shards the shards
	 * @return states by program
	 */
	Map<ProgramId, ProgramRecord> snapshot(Collection<ShardId> shards);

}

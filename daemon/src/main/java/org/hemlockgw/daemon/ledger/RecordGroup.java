package org.hemlockgw.daemon.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerRecord;

/**
 * Records that are written in one batch.
 *
 * @param shard shard whose seal makes them void, or {@code null} for none
 * @param records the records
 * @param bytes estimated size
 * @param bufferBytes share of the buffer
 * @param done completes when they are durable
 */
record RecordGroup(@Nullable ShardId shard, List<? extends LedgerRecord> records, long bytes, long bufferBytes,
		CompletableFuture<Void> done) {

	static RecordGroup buffered(ShardId shard, List<? extends LedgerRecord> records) {
		long bytes = RecordSize.of(records);
		return new RecordGroup(shard, List.copyOf(records), bytes, bytes, new CompletableFuture<>());
	}

	static RecordGroup unbuffered(@Nullable ShardId shard, List<? extends LedgerRecord> records) {
		return new RecordGroup(shard, List.copyOf(records), RecordSize.of(records), 0, new CompletableFuture<>());
	}

}

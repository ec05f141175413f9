package org.hemlockgw.daemon.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.EpochOpened;
import org.hemlockgw.core.ledger.LedgerState;

/**
 * The checkpoint that a ledger's writer is writing, a few shards in each batch. Guarded
 * by the writer's lock.
 */
final class CheckpointProgress {

	private final LedgerState fold;

	private final Deque<ShardId> waiting = new ArrayDeque<>();

	private boolean active;

	/** Whether the batch in flight has a part of the checkpoint. */
	private boolean inBatch;

	/** Offset of the checkpoint's first batch, or -1. */
	private long start = -1;

	private long offset;

	CheckpointProgress(LedgerState fold) {
		this.fold = fold;
	}

	boolean active() {
		return this.active;
	}

	/**
	 * Returns the offset of the last complete checkpoint.
	 * @return offset from which a reader needs to read
	 */
	long offset() {
		return this.offset;
	}

	void begin() {
		this.active = true;
		this.inBatch = false;
		this.start = -1;
	}

	void cancel() {
		this.active = false;
		this.waiting.clear();
	}

	/**
	 * Returns the next part, for the front of a batch. A record behind it is then never
	 * replaced by it. Shards are whole, so a parent never differs from its children.
	 * @param bytes size from which no further shard is added
	 * @return the records
	 */
	List<LedgerRecord> next(long bytes) {
		List<LedgerRecord> records = new ArrayList<>();
		this.inBatch = this.active;
		if (this.active && this.start < 0) {
			// Not earlier, because the batch before this one may open a program.
			this.waiting.addAll(this.fold.shardsWithPrograms());
			openEmptyShards(records);
		}
		while (!this.waiting.isEmpty() && RecordSize.of(records) < bytes) {
			ShardId shard = this.waiting.remove();
			long epoch = this.fold.openEpochs().getOrDefault(shard, 0L);
			records.add(new EpochOpened(Set.of(shard), this.fold.fullStateEpoch(shard), true));
			LedgerState.checkpoints(this.fold.programs(Set.of(shard))).values().forEach(records::addAll);
			if (!this.fold.hasFullState(shard)) {
				// The shard came back and its take-over is not complete yet.
				records.add(new EpochOpened(Set.of(shard), epoch, false));
			}
		}
		return records;
	}

	// A shard whose take-over is not complete has no programs here yet, but has some in
	// its predecessors' ledgers, which a statement of no programs would make void.
	private void openEmptyShards(List<LedgerRecord> records) {
		Map<ShardId, Long> stated = new TreeMap<>(this.fold.openEpochs());
		stated.keySet().removeAll(this.waiting);
		Map<ShardId, Long> claimed = new TreeMap<>(stated);
		stated.keySet().removeIf((shard) -> !this.fold.hasFullState(shard));
		claimed.keySet().removeAll(stated.keySet());
		LedgerReader.byEpoch(stated).forEach((epoch, shards) -> records.add(new EpochOpened(shards, epoch, true)));
		LedgerReader.byEpoch(claimed).forEach((epoch, shards) -> records.add(new EpochOpened(shards, epoch, false)));
	}

	/**
	 * Notes that the batch in flight is in the ledger.
	 * @param position its offset
	 */
	void written(long position) {
		if (!this.active || !this.inBatch) {
			return;
		}
		if (this.start < 0) {
			this.start = position;
		}
		if (this.waiting.isEmpty()) {
			// A seal that came during the checkpoint made part of it void.
			if (!this.fold.hasSealedPrograms()) {
				this.offset = this.start;
			}
			this.active = false;
		}
	}

}

package org.hemlockgw.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.EpochOpened;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.daemon.ledger.LedgerReader;
import org.hemlockgw.daemon.ledger.LedgerWriter;

/**
 * Take-over of shards that have the same predecessors, up to the checkpoint in the own
 * ledger. Completion on control and adoption are left to the controller.
 */
final class TakeOver {

	private final Map<ShardId, Long> epochs;

	private final Map<ShardId, Long> firstEpochs;

	private final List<Incarnation> predecessors;

	private final LedgerWriter writer;

	private final LedgerReader reader;

	private final LedgerState fold;

	private final Gate completion;

	private volatile boolean cancelled;

	private volatile Map<ShardId, Map<ProgramId, ProgramRecord>> programs = Map.of();

	private volatile boolean written;

	/**
	 * Creates a take-over.
	 * @param epochs epochs of the accepted claim by shard
	 * @param firstEpochs epoch of the first predecessor by shard
	 * @param predecessors whose ledgers to fold, the oldest first; the own incarnation
	 * may be among them
	 * @param writer the own ledger
	 * @param reader reads the others
	 * @param completion gate of the completion record
	 */
	TakeOver(Map<ShardId, Long> epochs, Map<ShardId, Long> firstEpochs, List<Incarnation> predecessors,
			LedgerWriter writer, LedgerReader reader, Gate completion) {
		this.epochs = Map.copyOf(epochs);
		this.firstEpochs = Map.copyOf(firstEpochs);
		this.predecessors = predecessors.stream().distinct().toList();
		this.writer = writer;
		this.reader = reader;
		this.fold = LedgerState.ofShards(this.firstEpochs);
		this.completion = completion;
	}

	Map<ShardId, Long> epochs() {
		return this.epochs;
	}

	long epoch(ShardId shard) {
		return this.epochs.getOrDefault(shard, 0L);
	}

	Gate completion() {
		return this.completion;
	}

	/**
	 * Tells whether the checkpoint is durable.
	 * @return true when the completion may be appended
	 */
	boolean written() {
		return this.written;
	}

	Map<ProgramId, ProgramRecord> programs(ShardId shard) {
		return this.programs.getOrDefault(shard, Map.of());
	}

	void cancel() {
		this.cancelled = true;
	}

	CompletableFuture<Void> run() {
		CompletableFuture<Void> step = this.writer.open(this.epochs);
		for (Incarnation predecessor : this.predecessors) {
			step = step.thenCompose((done) -> fold(predecessor));
		}
		return step.thenCompose((done) -> {
			check();
			Map<ProgramId, ProgramRecord> all = this.fold.settleForTakeOver();
			Map<ShardId, Map<ProgramId, ProgramRecord>> byShard = new HashMap<>();
			all.forEach(
					(id, state) -> byShard.computeIfAbsent(id.shard(), (s) -> new LinkedHashMap<>()).put(id, state));
			this.programs = byShard;
			return this.writer.restate(this.epochs, all);
		}).thenRun(() -> this.written = true);
	}

	private CompletableFuture<Void> fold(Incarnation predecessor) {
		check();
		if (predecessor.equals(this.writer.incarnation())) {
			foldOwn();
			return CompletableFuture.completedFuture(null);
		}
		return this.reader.seal(predecessor, this.epochs, this.writer.incarnation())
			.thenCompose((end) -> this.reader.read(predecessor, end, this.fold));
	}

	// The writer has folded its own ledger already.
	private void foldOwn() {
		List<LedgerRecord> records = new ArrayList<>();
		LedgerState.checkpoints(this.writer.programs(this.firstEpochs)).forEach((shard, checkpoints) -> {
			records.add(new EpochOpened(Set.of(shard), epoch(shard), true));
			records.addAll(checkpoints);
		});
		String id = this.writer.incarnation().id();
		this.fold.startLedger(id);
		this.fold.apply(new LedgerBatch(id, 0, 0, records));
	}

	private void check() {
		if (this.cancelled) {
			throw CallFailure.notRun(ErrorCode.NOT_OWNER, "the claim was lost during the take-over");
		}
	}

}

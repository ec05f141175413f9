package org.hemlockgw.daemon.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.ledger.Ledger;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.program.ProgramSnapshot;
import org.hemlockgw.core.program.Transition;

/**
 * Applies transitions and gives their records to the ledger in the same order. All
 * methods are called under the lock of the shard. The futures complete when the records
 * are durable.
 */
final class RecordWriter {

	private final Ledger ledger;

	RecordWriter(Ledger ledger) {
		this.ledger = ledger;
	}

	CompletableFuture<Void> apply(ProgramCell cell, Transition transition) {
		Change change = new Change(cell, cell.state(), transition.state());
		return apply(List.of(change), transition.records());
	}

	// Changes several programs of one tree with one batch.
	CompletableFuture<Void> apply(List<Change> changes, List<LedgerRecord.OfProgram> records) {
		changes.forEach((change) -> change.cell().state(change.after()));
		if (records.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		List<LedgerRecord.OfProgram> batch = new ArrayList<>();
		changes.forEach((change) -> addCheckpoint(change, batch));
		batch.addAll(records);
		CompletableFuture<Void> append = submit(batch).whenComplete((done, error) -> {
			if (error != null && CallFailure.of(error).code() != ErrorCode.NOT_OWNER) {
				lost(changes);
			}
		});
		changes.forEach((change) -> change.cell().lastAppend(append));
		for (LedgerRecord.OfProgram record : batch) {
			trackGrant(changes, record, append);
		}
		return append;
	}

	// Completes when the current state is durable. After a refused batch, the state is
	// written again.
	CompletableFuture<Void> stateDurable(ProgramCell cell) {
		if (!cell.checkpointDue()) {
			return cell.lastAppend();
		}
		cell.checkpointDue(false);
		ProgramSnapshot state = cell.state();
		return apply(cell, new Transition(state, List.of(new LedgerRecord.Checkpoint(state.id(), state.toRecord()))));
	}

	private static void addCheckpoint(Change change, List<LedgerRecord.OfProgram> batch) {
		ProgramSnapshot before = change.before();
		if (before != null && change.cell().checkpointDue()) {
			batch.add(new LedgerRecord.Checkpoint(before.id(), before.toRecord()));
			change.cell().checkpointDue(false);
		}
	}

	private CompletableFuture<Void> submit(List<LedgerRecord.OfProgram> batch) {
		try {
			return this.ledger.append(batch);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(CallFailure.of(ex));
		}
	}

	private static void trackGrant(List<Change> changes, LedgerRecord.OfProgram record,
			CompletableFuture<Void> append) {
		long granted = granted(record);
		for (Change change : changes) {
			ProgramCell cell = change.cell();
			if (granted < 0 || !cell.id().equals(record.program())) {
				continue;
			}
			long number = cell.grants().addPending(granted);
			cell.lastGrant(append.thenRun(() -> {
				synchronized (cell.slot()) {
					cell.grants().markDurable(number);
				}
			}));
		}
	}

	private static long granted(LedgerRecord.OfProgram record) {
		if (record instanceof LedgerRecord.Granted grant) {
			return grant.granted();
		}
		if (record instanceof LedgerRecord.Opened opened) {
			return opened.granted();
		}
		return (record instanceof LedgerRecord.Checkpoint checkpoint) ? checkpoint.state().granted() : -1;
	}

	// The records are missing from the ledger, so the next batch starts with the state.
	private static void lost(List<Change> changes) {
		for (Change change : changes) {
			synchronized (change.cell().slot()) {
				change.cell().checkpointDue(true);
			}
		}
	}

	/**
	 * Change of one program.
	 *
	 * @param cell the program
	 * @param before its state before, or {@code null} for a new program
	 * @param after its new state
	 */
	record Change(ProgramCell cell, @Nullable ProgramSnapshot before, ProgramSnapshot after) {
	}

}

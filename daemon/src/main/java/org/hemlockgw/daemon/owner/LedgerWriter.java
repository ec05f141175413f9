package org.hemlockgw.daemon.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.ledger.Ledger;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.program.ProgramSnapshot;
import org.hemlockgw.core.program.Transition;

/**
 * Applies transitions and gives their records to the ledger in the same order. All
 * methods are called under the lock of the shard.
 */
final class LedgerWriter {

	private final Ledger ledger;

	LedgerWriter(Ledger ledger) {
		this.ledger = ledger;
	}

	// Applies a transition.
	// Result: completes when its records are durable.
	CompletableFuture<Void> apply(ProgramCell cell, Transition transition) {
		ProgramSnapshot before = cell.state();
		cell.state(transition.state());
		if (transition.records().isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		return append(cell, before, transition.records());
	}

	// Appends records of one program and, in the same batch, of its children.
	// before: its state before the records.
	CompletableFuture<Void> append(ProgramCell cell, ProgramSnapshot before, List<LedgerRecord.OfProgram> records) {
		List<LedgerRecord.OfProgram> batch = new ArrayList<>();
		if (cell.checkpointDue()) {
			batch.add(new LedgerRecord.Checkpoint(before.id(), before.toRecord()));
			cell.checkpointDue(false);
		}
		batch.addAll(records);
		CompletableFuture<Void> append = submit(batch);
		for (LedgerRecord.OfProgram record : batch) {
			trackGrant(cell, record, append);
		}
		append.whenComplete((done, error) -> {
			if (error != null && CallFailure.of(error).code() != ErrorCode.NOT_OWNER) {
				lost(cell);
			}
		});
		return append;
	}

	private CompletableFuture<Void> submit(List<LedgerRecord.OfProgram> batch) {
		try {
			return this.ledger.append(batch);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(CallFailure.of(ex));
		}
	}

	private void trackGrant(ProgramCell cell, LedgerRecord.OfProgram record, CompletableFuture<Void> append) {
		long granted;
		if (record instanceof LedgerRecord.Granted grant) {
			granted = grant.granted();
		}
		else if (record instanceof LedgerRecord.Opened opened) {
			granted = opened.granted();
		}
		else if (record instanceof LedgerRecord.Checkpoint checkpoint) {
			granted = checkpoint.state().granted();
		}
		else {
			return;
		}
		ProgramCell target = cell.slot().programs().get(record.program());
		if (target == null) {
			return;
		}
		long number = target.grants().pending(granted);
		target.lastGrant(append);
		append.whenComplete((done, error) -> {
			if (error == null) {
				synchronized (cell.slot()) {
					target.grants().durable(number);
				}
			}
		});
	}

	// The records are missing from the ledger, so the next batch starts with the state.
	private void lost(ProgramCell cell) {
		synchronized (cell.slot()) {
			cell.checkpointDue(true);
		}
	}

}

package org.hemlockgw.daemon.ledger;

import java.util.List;

import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.CallEnded;
import org.hemlockgw.core.ledger.LedgerRecord.Checkpoint;
import org.hemlockgw.core.ledger.LedgerRecord.Seal;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.core.program.Message;

/**
 * Estimates the memory of records that wait for the log.
 */
final class RecordSize {

	/** Identifiers, numbers and object headers of one record. */
	private static final long BASE_BYTES = 200;

	private RecordSize() {
	}

	static long of(List<? extends LedgerRecord> records) {
		long bytes = 0;
		for (LedgerRecord record : records) {
			bytes += of(record);
		}
		return bytes;
	}

	private static long of(LedgerRecord record) {
		if (record instanceof TurnCompleted turn) {
			return BASE_BYTES + ofMessages(turn.newMessages()) + turn.answer().content().length();
		}
		if (record instanceof CallEnded call) {
			return BASE_BYTES + call.body().length + call.message().length();
		}
		if (record instanceof Checkpoint checkpoint) {
			long bodies = checkpoint.state().outcomes().stream().mapToLong((o) -> BASE_BYTES + o.body().length).sum();
			return BASE_BYTES + ofMessages(checkpoint.state().messages()) + bodies;
		}
		if (record instanceof Seal seal) {
			return BASE_BYTES + 4L * seal.shards().size();
		}
		return BASE_BYTES;
	}

	private static long ofMessages(List<Message> messages) {
		return messages.stream().mapToLong((message) -> 32L + message.content().length()).sum();
	}

}

package org.hemlockgw.core.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The writer of this daemon's ledger.
 */
public interface Ledger {

	/**
	 * Appends records of one shard in one batch.
	 * @param records the records, in order
	 * @return completes when the records are durable ahead of any seal of their shard. It
	 * fails with {@code NOT_OWNER} when they are void, and with {@code LOG_UNAVAILABLE}
	 * when the buffer is full. During a log outage it stays incomplete.
	 */
	CompletableFuture<Void> append(List<LedgerRecord.OfProgram> records);

	/**
	 * Tells whether the log is considered unavailable.
	 * @return true when an append has been outstanding for longer than the outage
	 * threshold
	 */
	boolean isLogUnavailable();

	/**
	 * Returns how full the buffer of records that wait for the log is.
	 * @return from 0 to 1
	 */
	double bufferFillRatio();

}

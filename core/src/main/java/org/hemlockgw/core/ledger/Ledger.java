package org.hemlockgw.core.ledger;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Write access to the ledger of this daemon.
 */
public interface Ledger {

	/**
	 * Appends records of one shard as one batch.
	 * @param records the records, in order
	 * @return completes when the records are durable and precede any seal of their shard;
	 * fails with {@code NOT_OWNER} if a seal makes them void, or with
	 * {@code LOG_UNAVAILABLE} if the buffer is full; stays incomplete during a log outage
	 */
	CompletableFuture<Void> append(List<LedgerRecord.OfProgram> records);

	/**
	 * Returns whether the log is considered unavailable.
	 * @return {@code true} if an append has been pending for longer than the outage
	 * threshold
	 */
	boolean isLogUnavailable();

	/**
	 * Returns the fill level of the buffer of records that are not yet durable.
	 * @return fill ratio from 0 to 1
	 */
	double bufferFillRatio();

}

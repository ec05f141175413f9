package org.hemlockgw.core.ledger;

import java.util.List;

/**
 * One append to a ledger.
 *
 * @param writer incarnation identifier of the writer; a successor's for a seal
 * @param sequence number of the writer's batch, from 0, by which a batch appended twice
 * is recognised
 * @param checkpointOffset offset from which a reader needs to read
 * @param records the records
 */
public record LedgerBatch(String writer, long sequence, long checkpointOffset, List<LedgerRecord> records) {

	public LedgerBatch {
		records = List.copyOf(records);
	}

}

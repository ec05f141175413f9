package org.hemlockgw.core.ledger;

import java.util.List;

/**
 * A batch of records that is appended to a ledger at once.
 *
 * @param writer incarnation identifier of the writer; for a seal, that of the successor
 * @param sequence sequence number of the batch within its writer, from 0; used to detect
 * a batch that was appended twice
 * @param checkpointOffset offset at which a reader must start to get the complete state
 * @param records the records
 */
public record LedgerBatch(String writer, long sequence, long checkpointOffset, List<LedgerRecord> records) {

	public LedgerBatch {
		records = List.copyOf(records);
	}

}

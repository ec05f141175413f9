package org.hemlockgw.core.ledger;

/**
 * Encodes and decodes ledger batches.
 */
public interface LedgerCodec {

	byte[] encode(LedgerBatch batch);

	/**
	 * Decodes a batch.
	 * @param data the encoded batch
	 * @return the batch
	 * @throws IllegalArgumentException if the data is not a valid batch
	 */
	LedgerBatch decode(byte[] data);

}

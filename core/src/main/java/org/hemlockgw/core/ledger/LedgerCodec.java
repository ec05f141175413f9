package org.hemlockgw.core.ledger;

/**
 * Converts batches to bytes and back.
 */
public interface LedgerCodec {

	byte[] encode(LedgerBatch batch);

	/**
	 * Decodes a batch.
	 * @param data the bytes
	 * @return the batch
	 * @throws IllegalArgumentException if the bytes are not a batch
	 */
	LedgerBatch decode(byte[] data);

}

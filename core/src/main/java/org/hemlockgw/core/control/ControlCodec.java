package org.hemlockgw.core.control;

/**
 * Encodes and decodes control records.
 */
public interface ControlCodec {

	byte[] encode(ControlRecord record);

	/**
	 * Decodes a record.
	 * @param data the encoded record
	 * @return the record
	 * @throws IllegalArgumentException if the data is not a valid record
	 */
	ControlRecord decode(byte[] data);

}

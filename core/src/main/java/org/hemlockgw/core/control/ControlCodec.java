package org.hemlockgw.core.control;

/**
 * Converts control records to bytes and back.
 */
public interface ControlCodec {

	byte[] encode(ControlRecord record);

	/**
	 * Decodes a record.
	 * @param data the bytes
	 * @return the record
	 * @throws IllegalArgumentException if the bytes are not a record
	 */
	ControlRecord decode(byte[] data);

}

package org.hemlockgw.core.config;

/**
 * Thrown when a record of the configuration stream cannot be decoded.
 */
public final class MalformedRecordException extends Exception {

	private static final long serialVersionUID = 1L;

	public MalformedRecordException(String message) {
		super(message);
	}

}

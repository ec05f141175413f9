package org.hemlockgw.core.config;

/**
 * A record of the configuration stream that cannot be decoded.
 */
public final class MalformedRecordException extends Exception {

	private static final long serialVersionUID = 1L;

	public MalformedRecordException(String message) {
		super(message);
	}

}

package org.hemlockgw.remote;

import java.io.IOException;

/**
 * No connection could be opened, so that no byte of the request was sent.
 */
final class NotSentException extends IOException {

	private static final long serialVersionUID = 1L;

	NotSentException(String message, Throwable cause) {
		super(message, cause);
	}

}

package org.hemlockgw.remote;

import java.io.IOException;
import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * The server answered with an error status.
 */
final class StatusException extends IOException {

	private static final long serialVersionUID = 1L;

	private static final int UNAVAILABLE = 503;

	private static final int TOO_MANY_REQUESTS = 429;

	private final int status;

	private final boolean admitted;

	private final transient @Nullable Duration retryAfter;

	private final byte[] body;

	StatusException(int status, boolean admitted, @Nullable Duration retryAfter, byte[] body, String message) {
		super(message);
		this.status = status;
		this.admitted = admitted;
		this.retryAfter = retryAfter;
		this.body = body;
	}

	int status() {
		return this.status;
	}

	/**
	 * Returns whether the server said that it did not admit the request.
	 * @return true for 429, and for 503 with {@code X-Admitted: false}
	 */
	boolean notAdmitted() {
		return this.status == TOO_MANY_REQUESTS || (this.status == UNAVAILABLE && !this.admitted);
	}

	@Nullable Duration retryAfter() {
		return this.retryAfter;
	}

	byte[] body() {
		return this.body;
	}

}

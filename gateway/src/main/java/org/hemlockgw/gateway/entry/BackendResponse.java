package org.hemlockgw.gateway.entry;

import org.jspecify.annotations.Nullable;

/**
 * Parsed headers of a backend server's response.
 *
 * @param status HTTP status code
 * @param requestId identifier of the request that was answered; null if not given
 * @param signed whether the response carries the server's signature
 * @param notRun whether the server states that it did not run the request
 * @param leaving whether the server states that it is leaving
 * @param encoded whether the body has a content encoding, so it is not in the form in
 * which the server sent it
 */
public record BackendResponse(int status, @Nullable String requestId, boolean signed, boolean notRun, boolean leaving,
		boolean encoded) {

	/**
	 * Returns whether the response can be attributed to a request. A success or a
	 * rejection that names no request may be a late copy of another response, and so may
	 * any response on a connection that has carried another request.
	 * @param reused whether the connection has carried another request before
	 * @return false if the response must not be used
	 */
	public boolean isAttributable(boolean reused) {
		return this.requestId != null || !(reused || this.notRun || isSuccess());
	}

	/**
	 * Returns whether callers take the status for a promise that the request has not run.
	 * @return true for the statuses that only a server's rejection may have
	 */
	public boolean promisesNotRun() {
		return switch (this.status) {
			case 408, 421, 429, 503 -> true;
			default -> false;
		};
	}

	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}

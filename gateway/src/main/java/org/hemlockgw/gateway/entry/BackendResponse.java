package org.hemlockgw.gateway.entry;

import org.jspecify.annotations.Nullable;

/**
 * What the headers of a server's answer say.
 *
 * @param status HTTP status
 * @param requestId request that it answers; null if not said
 * @param signed whether it carries the server's signature
 * @param notRun whether the server says that it did not run the request
 * @param encoded whether the body is encoded, so that it is not the server's own
 */
public record BackendResponse(int status, @Nullable String requestId, boolean signed, boolean notRun, boolean encoded) {

	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}

package org.hemlockgw.remote.admin;

import java.util.concurrent.CompletableFuture;

/**
 * Calls admin listeners of daemons.
 */
@FunctionalInterface
public interface AdminClient {

	/**
	 * Sends a request without a body.
	 * @param method {@code GET} or {@code POST}
	 * @param address the listener, as IP number and port
	 * @param path path with leading slash
	 * @return the response; fails if the daemon cannot be reached
	 */
	CompletableFuture<Response> send(String method, String address, String path);

	/**
	 * A response.
	 *
	 * @param status the HTTP status
	 * @param body body as text
	 */
	record Response(int status, String body) {
	}

}

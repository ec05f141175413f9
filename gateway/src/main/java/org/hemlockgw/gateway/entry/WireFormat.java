package org.hemlockgw.gateway.entry;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import org.hemlockgw.core.account.AccountScope;

/**
 * Format of the HTTP headers between callers, this daemon and backend servers.
 */
public interface WireFormat {

	/**
	 * Parses the headers of a caller's request.
	 * @param head the request
	 * @return the parsed headers
	 */
	CallerRequest decode(HttpRequest head);

	/**
	 * Creates the request to a backend server.
	 * @param head the caller's request
	 * @param scope client account of the request
	 * @param server identifier of the server
	 * @param remainingMs remaining time in milliseconds
	 * @param bodyBytes size of the body in bytes
	 * @return method, path and headers
	 */
	HttpRequest toServerRequest(HttpRequest head, AccountScope scope, String server, long remainingMs, int bodyBytes);

	/**
	 * Parses the headers of a backend server's response.
	 * @param head the response
	 * @return the parsed headers
	 */
	BackendResponse decode(HttpResponse head);

	/**
	 * Creates the response to the caller, without length or connection headers.
	 * @param head the backend server's response
	 * @return status and headers
	 */
	HttpResponse toCallerResponse(HttpResponse head);

}

package org.hemlockgw.gateway.entry;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Names of headers between callers, this daemon and backend servers.
 */
public interface WireFormat {

	/**
	 * Reads a caller's headers.
	 * @param head the request
	 * @return what they say
	 */
	CallerRequest decode(HttpRequest head);

	/**
	 * Makes the request for a backend server.
	 * @param head the caller's request
	 * @param server identifier of the server
	 * @param remainingMs time that is left in milliseconds
	 * @param bodyBytes size of the body
	 * @return method, path and headers
	 */
	HttpRequest toServerRequest(HttpRequest head, String server, long remainingMs, int bodyBytes);

	/**
	 * Reads the headers of an answer.
	 * @param head the answer
	 * @return what they say
	 */
	BackendResponse decode(HttpResponse head);

	/**
	 * Makes the answer for the caller, without length or connection headers.
	 * @param head the server's answer
	 * @return status and headers
	 */
	HttpResponse toCallerResponse(HttpResponse head);

}

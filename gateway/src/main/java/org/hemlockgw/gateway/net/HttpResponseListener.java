package org.hemlockgw.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the answer to one request.
 */
public interface HttpResponseListener {

	/**
	 * Receives status and headers.
	 * @param response status and headers
	 * @return false if the answer belongs to another request; it is skipped
	 */
	boolean acceptHead(HttpResponse response);

	/**
	 * Receives a part of the body.
	 * @param part valid during the call only
	 */
	void contentReceived(ByteBuf part);

	/**
	 * The answer is complete.
	 */
	void completed();

	/**
	 * There is no complete answer.
	 * @param sent whether a part of the request may have reached the server
	 * @param cause what happened
	 */
	void failed(boolean sent, String cause);

}

package org.hemlockgw.gateway.net;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to one request.
 */
public interface HttpResponseListener {

	/**
	 * Receives the status and headers of the response.
	 * @param response status and headers
	 * @param reused whether the connection has carried another request before; a late
	 * copy of its response may arrive
	 * @return false if the response belongs to another request and is to be skipped
	 */
	boolean acceptHead(HttpResponse response, boolean reused);

	/**
	 * Receives a part of the body.
	 * @param part part of the body; valid only during the call
	 */
	void contentReceived(ByteBuf part);

	/**
	 * Called when all parts of the body that have arrived were received. A server may
	 * send a body in so many parts that forwarding each one would block others.
	 */
	default void partsReceived() {
	}

	/**
	 * Called when the response is complete.
	 */
	void completed();

	/**
	 * Called when no complete response can be received.
	 * @param sent whether a part of the request may have reached the server
	 * @param cause description of the failure
	 */
	void failed(boolean sent, String cause);

}

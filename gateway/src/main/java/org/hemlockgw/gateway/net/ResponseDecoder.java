package org.hemlockgw.gateway.net;

import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Response decoder that reports bytes that do not form an HTTP object yet.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	/**
	 * Returns whether bytes were received that were not decoded yet.
	 * @return true if undecoded bytes are buffered
	 */
	boolean hasUndecodedBytes() {
		return actualReadableBytes() > 0;
	}

}

package org.hemlockgw.gateway.entry;

import io.netty.handler.codec.http.FullHttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * Request of a caller as it was received, and the memory that is reserved for it.
 *
 * @param http the request; its body is empty if the request is refused
 * @param parsed parsed headers
 * @param refusal why the request is refused; null if it isn't
 * @param smallBytes bytes that are reserved for its head and small body
 * @param largeBytes bytes that are reserved for its large body
 */
record ReceivedRequest(FullHttpRequest http, CallerRequest parsed, @Nullable Refusal refusal, long smallBytes,
		long largeBytes) {
}

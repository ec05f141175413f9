package org.hemlockgw.gateway.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.jspecify.annotations.Nullable;

/**
 * Content of a request as a backend server receives it, without the identifiers that
 * differ each time the request is sent.
 */
final class RequestContent {

	private static final int DIGEST_BYTES = 16;

	private final FullHttpRequest request;

	private final byte[] bodyPrefix;

	private @Nullable String digest;

	/**
	 * Creates the content.
	 * @param request the caller's request
	 * @param bodyPrefix data that servers receive before the body of the request
	 */
	RequestContent(FullHttpRequest request, byte[] bodyPrefix) {
		this.request = request;
		this.bodyPrefix = bodyPrefix;
	}

	/**
	 * Returns the body as servers receive it.
	 * @return the body; must be released
	 */
	ByteBuf retainedBody() {
		return Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(this.bodyPrefix),
				this.request.content().retainedDuplicate());
	}

	/**
	 * Returns a digest of method, host, path, query and body. Must not be called first
	 * after the request was released.
	 * @return hex digits
	 */
	String digest() {
		String result = this.digest;
		if (result == null) {
			result = computeDigest();
			this.digest = result;
		}
		return result;
	}

	private String computeDigest() {
		String host = this.request.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			sha256.update((this.request.method() + " " + host + this.request.uri()).getBytes(StandardCharsets.UTF_8));
			sha256.update((byte) 0);
			sha256.update(this.bodyPrefix);
			sha256.update(ByteBufUtil.getBytes(this.request.content()));
			return HexFormat.of().formatHex(sha256.digest(), 0, DIGEST_BYTES);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform must support SHA-256", ex);
		}
	}

}

package org.hemlockgw.gateway.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.AccountScope;

/**
 * Content of a request as a backend server receives it, without the identifiers that
 * differ each time the request is sent.
 */
final class RequestContent {

	private static final int DIGEST_BYTES = 16;

	/** Number of bytes at each end of a body that the hash covers. */
	private static final int HASHED_BYTES = 1024;

	private final FullHttpRequest request;

	private final byte[] bodyPrefix;

	private final AccountScope scope;

	private @Nullable String digest;

	/**
	 * Creates the content.
	 * @param request the caller's request
	 * @param bodyPrefix data that servers receive before the body of the request
	 * @param scope client account, whose content never blocks that of another account
	 */
	RequestContent(FullHttpRequest request, byte[] bodyPrefix, AccountScope scope) {
		this.request = request;
		this.bodyPrefix = bodyPrefix;
		this.scope = scope;
	}

	/**
	 * Returns the body as servers receive it.
	 * @return the body; must be released
	 */
	ByteBuf retainedBody() {
		if (this.bodyPrefix.length == 0) {
			return this.request.content().retainedDuplicate();
		}
		return Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(this.bodyPrefix),
				this.request.content().retainedDuplicate());
	}

	/**
	 * Returns a digest of method, host, path, query, body and, if accounts are enabled,
	 * the account. Must not be called first after the request was released.
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

	/**
	 * Returns a hash that is cheap also for large bodies, of which it covers the ends.
	 * @return the hash
	 */
	long hash() {
		int head = head().hashCode();
		int body = 31 * hashEnds(Unpooled.wrappedBuffer(this.bodyPrefix)) + hashEnds(this.request.content());
		return ((long) head << Integer.SIZE) | Integer.toUnsignedLong(body);
	}

	private static int hashEnds(ByteBuf data) {
		int length = Math.min(data.readableBytes(), HASHED_BYTES);
		int first = data.slice(data.readerIndex(), length).hashCode();
		int last = data.slice(data.writerIndex() - length, length).hashCode();
		return 31 * (31 * data.readableBytes() + first) + last;
	}

	private String head() {
		String host = this.request.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
		return this.scope.qualify(this.request.method() + " " + host + this.request.uri());
	}

	private String computeDigest() {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			sha256.update(head().getBytes(StandardCharsets.UTF_8));
			sha256.update((byte) 0);
			sha256.update(this.bodyPrefix);
			for (ByteBuffer part : this.request.content().nioBuffers()) {
				sha256.update(part);
			}
			return HexFormat.of().formatHex(sha256.digest(), 0, DIGEST_BYTES);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform must support SHA-256", ex);
		}
	}

}

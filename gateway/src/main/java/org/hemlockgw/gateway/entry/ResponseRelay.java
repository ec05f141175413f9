package org.hemlockgw.gateway.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * A server's answer to one attempt on its way to the caller. A stream is passed on event
 * by event, anything else as a whole.
 */
final class ResponseRelay {

	/** Largest answer in bytes that is held back. */
	static final int MAX_HELD_BYTES = 16 * 1024 * 1024;

	private static final byte[] NO_OUTPUT = {};

	private final WireFormat wire;

	private final CallerConnection caller;

	private final boolean streaming;

	private @Nullable HttpResponse head;

	private @Nullable BackendResponse decoded;

	private @Nullable EventScanner scanner;

	private @Nullable CompositeByteBuf held;

	private boolean headSent;

	/**
	 * Creates a relay.
	 * @param wire names of headers
	 * @param caller the caller
	 * @param streaming whether the route's answers are event streams
	 */
	ResponseRelay(WireFormat wire, CallerConnection caller, boolean streaming) {
		this.wire = wire;
		this.caller = caller;
		this.streaming = streaming;
	}

	void setHead(HttpResponse response, BackendResponse answer) {
		this.head = response;
		this.decoded = answer;
		if (this.streaming && answer.isSuccess() && isGenuine(answer)) {
			this.scanner = new EventScanner();
		}
	}

	private static boolean isGenuine(BackendResponse answer) {
		return answer.signed() && !answer.encoded();
	}

	/**
	 * Returns what the headers say.
	 * @return null before they have come
	 */
	@Nullable BackendResponse backendResponse() {
		return this.decoded;
	}

	boolean isStream() {
		return this.scanner != null;
	}

	/**
	 * Tells whether a success is the server's own and whole.
	 * @return true for failures too
	 */
	boolean isComplete() {
		BackendResponse answer = this.decoded;
		return answer != null && (!answer.isSuccess()
				|| (isGenuine(answer) && (this.scanner == null || this.scanner.isAtEventBoundary())));
	}

	/**
	 * Adds a part of the body.
	 * @param part the part
	 * @return false if too much is held back
	 */
	boolean appendBody(ByteBuf part) {
		if (this.scanner != null) {
			this.scanner.append(part);
		}
		CompositeByteBuf buffer = this.held;
		if (buffer == null) {
			buffer = Unpooled.compositeBuffer(1024);
			this.held = buffer;
		}
		buffer.addComponent(true, Unpooled.copiedBuffer(part));
		return buffer.readableBytes() <= MAX_HELD_BYTES;
	}

	/**
	 * Passes on what is held back of a stream.
	 * @return false if the caller does not keep up
	 */
	boolean flushStream() {
		CompositeByteBuf buffer = this.held;
		if (buffer == null || this.scanner == null) {
			return true;
		}
		this.held = null;
		sendHead();
		this.caller.channel().writeAndFlush(new DefaultHttpContent(buffer));
		return this.caller.channel().isWritable();
	}

	/**
	 * Sends the headers of a stream, unless they are sent.
	 */
	void sendHead() {
		if (this.headSent || this.head == null) {
			return;
		}
		this.headSent = true;
		HttpResponse response = this.wire.toCallerResponse(this.head);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		this.caller.applyConnectionClose(response);
		this.caller.channel().write(response);
	}

	/**
	 * Tells whether the caller has got a part of the answer.
	 * @return whether headers were sent
	 */
	boolean isHeadSent() {
		return this.headSent;
	}

	/**
	 * Sends an answer that is no stream and ends the exchange.
	 */
	void sendBuffered() {
		if (this.head == null) {
			return;
		}
		ByteBuf body = (this.held != null) ? this.held : Unpooled.EMPTY_BUFFER;
		this.held = null;
		HttpResponse headers = this.wire.toCallerResponse(this.head);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, headers.status(), body);
		response.headers().set(headers.headers());
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		this.caller.sendResponse(response);
	}

	int eventCount() {
		return (this.scanner != null) ? this.scanner.eventCount() : 0;
	}

	byte[] eventData() {
		return (this.scanner != null) ? this.scanner.eventData() : NO_OUTPUT;
	}

	/**
	 * Drops what is held back.
	 */
	void discard() {
		if (this.held != null) {
			this.held.release();
			this.held = null;
		}
	}

}

package org.hemlockgw.gateway.entry;

import java.util.function.LongSupplier;

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

import org.hemlockgw.core.pool.ResponseTiming;
import org.hemlockgw.gateway.net.FailedWrites;

/**
 * Relays a backend server's response to one attempt to the caller. An event stream is
 * forwarded while it arrives, any other response is buffered and sent whole.
 */
final class ResponseRelay {

	/** Memory in bytes that a part of the body takes besides its content. */
	private static final int PART_OVERHEAD_BYTES = 64;

	private static final byte[] NO_EVENT_DATA = {};

	private final WireFormat wireFormat;

	private final CallerConnection caller;

	private final boolean streaming;

	private final ResponseMemory memory;

	private final ResponseTimer timer;

	private @Nullable HttpResponse head;

	private @Nullable BackendResponse backendResponse;

	private @Nullable EventScanner scanner;

	private @Nullable CompositeByteBuf buffered;

	private long reservedBytes;

	private boolean headSent;

	/**
	 * Creates a relay.
	 * @param wireFormat format of HTTP headers
	 * @param caller connection to the caller
	 * @param streaming whether the responses of the route are event streams
	 * @param memory memory for the parts of the response that are kept
	 * @param nanoClock monotonic clock in nanoseconds
	 */
	ResponseRelay(WireFormat wireFormat, CallerConnection caller, boolean streaming, ResponseMemory memory,
			LongSupplier nanoClock) {
		this.wireFormat = wireFormat;
		this.caller = caller;
		this.streaming = streaming;
		this.memory = memory;
		this.timer = new ResponseTimer(nanoClock);
	}

	void setHead(HttpResponse response, BackendResponse parsed) {
		this.head = response;
		this.backendResponse = parsed;
		if (this.streaming && parsed.isSuccess() && isUnaltered(parsed)) {
			this.scanner = new EventScanner();
		}
	}

	private static boolean isUnaltered(BackendResponse parsed) {
		return parsed.signed() && !parsed.encoded();
	}

	/**
	 * Returns the parsed headers of the response.
	 * @return null before the headers have been received
	 */
	@Nullable BackendResponse backendResponse() {
		return this.backendResponse;
	}

	boolean isStream() {
		return this.scanner != null;
	}

	/**
	 * Returns whether a response that is not a rejection may be sent to the caller.
	 * @return whether it is a failure that promises nothing, or a success that is
	 * complete and unaltered by intermediaries
	 */
	boolean isValid() {
		BackendResponse parsed = this.backendResponse;
		if (parsed == null || parsed.promisesNotRun()) {
			return false;
		}
		return !parsed.isSuccess() || (isUnaltered(parsed) && (this.scanner == null || this.scanner.isComplete()));
	}

	/**
	 * Buffers a copy of a part of the body.
	 * @param part part of the body
	 * @return false if the response is too large; the part is not buffered in that case
	 */
	boolean appendBody(ByteBuf part) {
		// The data of a stream's events is kept after it was forwarded.
		int bytes = part.readableBytes() + PART_OVERHEAD_BYTES;
		if (!this.memory.reserve(this.reservedBytes, bytes)) {
			return false;
		}
		this.reservedBytes += bytes;
		if (this.scanner != null) {
			this.scanner.append(part);
			this.timer.received(this.scanner.eventCount());
		}
		CompositeByteBuf buffer = this.buffered;
		if (buffer == null) {
			buffer = Unpooled.compositeBuffer(1024);
			this.buffered = buffer;
		}
		buffer.addComponent(true, Unpooled.copiedBuffer(part));
		return true;
	}

	/**
	 * Sends the buffered part of an event stream to the caller.
	 * @return false if the caller reads more slowly than the data arrives
	 */
	boolean flushStream() {
		CompositeByteBuf buffer = this.buffered;
		if (buffer == null || this.scanner == null) {
			return true;
		}
		this.buffered = null;
		sendHead();
		this.caller.channel().writeAndFlush(new DefaultHttpContent(buffer)).addListener(FailedWrites.CLOSE);
		return this.caller.channel().isWritable();
	}

	/**
	 * Sends the headers of a stream, unless they were already sent.
	 */
	void sendHead() {
		if (this.headSent || this.head == null) {
			return;
		}
		this.headSent = true;
		HttpResponse response = this.wireFormat.toCallerResponse(this.head);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		this.caller.applyConnectionClose(response);
		this.caller.channel().write(response).addListener(FailedWrites.CLOSE);
	}

	/**
	 * Returns whether the caller has received a part of the response.
	 * @return whether the headers were sent
	 */
	boolean isHeadSent() {
		return this.headSent;
	}

	/**
	 * Sends a buffered response that is not a stream, and ends the exchange.
	 */
	void sendBuffered() {
		if (this.head == null) {
			return;
		}
		ByteBuf body = (this.buffered != null) ? this.buffered : Unpooled.EMPTY_BUFFER;
		this.buffered = null;
		HttpResponse callerHead = this.wireFormat.toCallerResponse(this.head);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, callerHead.status(), body);
		response.headers().set(callerHead.headers());
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		this.caller.sendResponse(response);
		discard();
	}

	int eventCount() {
		return (this.scanner != null) ? this.scanner.eventCount() : 0;
	}

	/**
	 * Returns the size and the timing of a complete response.
	 * @return the timing, measured from the creation of this object
	 */
	ResponseTiming timing() {
		return this.timer.timing(eventCount());
	}

	/**
	 * Excludes the pauses between events from the timing, because reading was paused.
	 */
	void excludeGaps() {
		this.timer.pause();
	}

	byte[] eventData() {
		return (this.scanner != null) ? this.scanner.eventData() : NO_EVENT_DATA;
	}

	/**
	 * Releases the data that is kept. Must be called once the response is no longer used.
	 */
	void discard() {
		this.memory.release(this.reservedBytes);
		this.reservedBytes = 0;
		if (this.buffered != null) {
			this.buffered.release();
			this.buffered = null;
		}
	}

}

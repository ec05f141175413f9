package org.hemlockgw.gateway.entry;

import java.util.Iterator;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.limit.ClientMemory;
import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.core.route.CallerLimits;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.net.CountedHeaders;

/**
 * Assembles the requests of a connection. The body of a request that its head already
 * refuses is not kept.
 */
final class RequestAssembler extends ChannelInboundHandlerAdapter {

	/** Memory in bytes that each request takes besides its fields and its body. */
	private static final int REQUEST_OVERHEAD_BYTES = 2048;

	/** Memory per byte of text; a field is kept as bytes and as a string. */
	private static final int TEXT_FACTOR = 2;

	/** Maximum size of a head's text; the decoder permits less. */
	private static final long MAX_HEAD_TEXT_BYTES = 64 * 1024;

	private final Services services;

	private final CallerConnection connection;

	private final ClientMemory memory;

	private @Nullable HttpRequest head;

	private @Nullable CallerRequest parsed;

	private @Nullable RequestBody body;

	private long headMemoryBytes;

	private boolean discarding;

	private boolean complete;

	RequestAssembler(Services services, CallerConnection connection, ClientMemory memory) {
		this.services = services;
		this.connection = connection;
		this.memory = memory;
	}

	/**
	 * Returns whether a part of a body is still expected.
	 * @return whether the head of a request was received, but not its end
	 */
	boolean isReceivingBody() {
		return this.head != null || this.discarding;
	}

	boolean isDiscarding() {
		return this.discarding;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		try {
			HttpObject part = (HttpObject) msg;
			if (part.decoderResult().isFailure()) {
				discard();
				this.connection.handleMalformed(part.decoderResult().cause());
				return;
			}
			if (part instanceof HttpRequest request) {
				beginRequest(ctx, request);
			}
			if (part instanceof HttpContent content) {
				receive(ctx, content.content(), part instanceof LastHttpContent);
			}
		}
		finally {
			ReferenceCountUtil.release(msg);
		}
	}

	private void beginRequest(ChannelHandlerContext ctx, HttpRequest request) {
		CallerRequest callerRequest = this.services.wireFormat().decode(request);
		this.head = request;
		this.parsed = callerRequest;
		this.complete = false;
		this.discarding = false;
		RoutingTable routes = this.services.routes().get();
		int maxBodyBytes = ((routes != null) ? routes.limits() : CallerLimits.DEFAULT).maxBodyBytes();
		boolean chunked = HttpUtil.isTransferEncodingChunked(request);
		long length = chunked ? -1 : HttpUtil.getContentLength(request, 0L);
		this.headMemoryBytes = REQUEST_OVERHEAD_BYTES
				+ (long) request.headers().size() * CountedHeaders.FIELD_OVERHEAD_BYTES
				+ TEXT_FACTOR * headTextBytes(request);
		this.connection.headDecoded();
		if (!this.services.memoryBudget().reserve(this.memory, this.headMemoryBytes)) {
			this.headMemoryBytes = 0;
			refuse(Refusal.outOfMemory());
			return;
		}
		if (length == 0) {
			// Without a body, the request itself checks its head right after this.
			this.body = new RequestBody(this.services.memoryBudget(), this.memory, 0, maxBodyBytes);
			return;
		}
		Refusal refusal = HeadDecision.of(this.services, callerRequest).refusal();
		if (refusal == null && length > maxBodyBytes) {
			refusal = Refusal.bodyTooLarge();
		}
		if (refusal != null) {
			refuse(refusal);
			return;
		}
		this.connection.beginBody();
		RequestBody next = new RequestBody(this.services.memoryBudget(), this.memory, length, maxBodyBytes);
		this.body = next;
		if (!reserve(ctx, next)) {
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	/**
	 * Returns the size of the text of a head, without that of a body that arrived with
	 * it.
	 * @param request the head
	 * @return number of bytes
	 */
	static long headTextBytes(HttpRequest request) {
		long bytes = request.method().name().length() + request.uri().length();
		Iterator<Map.Entry<CharSequence, CharSequence>> fields = request.headers().iteratorCharSequence();
		while (fields.hasNext()) {
			Map.Entry<CharSequence, CharSequence> field = fields.next();
			bytes += field.getKey().length() + field.getValue().length();
		}
		return Math.min(bytes, MAX_HEAD_TEXT_BYTES);
	}

	// Returns false if the request was refused.
	private boolean reserve(ChannelHandlerContext ctx, RequestBody receiving) {
		if (receiving.needsLargeMemory() && !this.memory.isWaiting()) {
			if (this.services.memoryBudget().reserveLarge(this.memory, receiving.largeCapacity())) {
				receiving.useLargeMemory(ctx.alloc());
			}
			else if (this.memory.isWaiting()) {
				this.connection.updateReading();
			}
			else {
				refuse(Refusal.outOfMemory());
				return false;
			}
		}
		if (!receiving.reserveSmall()) {
			refuse(Refusal.outOfMemory());
			return false;
		}
		return true;
	}

	/**
	 * Continues after a body waited for memory.
	 * @param ctx context of this handler
	 * @param granted whether the memory is reserved
	 */
	void largeBodyDecided(ChannelHandlerContext ctx, boolean granted) {
		RequestBody receiving = this.body;
		if (receiving == null) {
			return;
		}
		if (!granted) {
			refuse(Refusal.outOfMemory());
			return;
		}
		receiving.useLargeMemory(ctx.alloc());
		if (this.complete) {
			finish();
		}
	}

	private void receive(ChannelHandlerContext ctx, ByteBuf part, boolean last) {
		RequestBody receiving = this.body;
		if (receiving == null) {
			endDiscarded(last);
			return;
		}
		if (part.isReadable()) {
			if (!receiving.append(part)) {
				refuse(Refusal.bodyTooLarge());
				endDiscarded(last);
				return;
			}
			if (!reserve(ctx, receiving)) {
				endDiscarded(last);
				return;
			}
		}
		this.complete = last;
		if (last && !this.memory.isWaiting()) {
			finish();
		}
	}

	private void endDiscarded(boolean last) {
		if (last && this.discarding) {
			this.discarding = false;
			this.connection.discardedBodyEnded();
		}
	}

	private void finish() {
		HttpRequest request = this.head;
		CallerRequest callerRequest = this.parsed;
		RequestBody received = this.body;
		if (request == null || callerRequest == null || received == null) {
			return;
		}
		received.complete();
		long small = this.headMemoryBytes + received.smallBytes();
		clear();
		this.connection.receive(new ReceivedRequest(toFullRequest(request, received.buffer()), callerRequest, null,
				small, received.largeBytes()));
	}

	private static FullHttpRequest toFullRequest(HttpRequest request, ByteBuf content) {
		if (!request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
		}
		return new DefaultFullHttpRequest(request.protocolVersion(), request.method(), request.uri(), content,
				request.headers(), EmptyHttpHeaders.INSTANCE);
	}

	private void refuse(Refusal refusal) {
		HttpRequest request = this.head;
		CallerRequest callerRequest = this.parsed;
		if (request == null || callerRequest == null) {
			return;
		}
		boolean ended = this.complete;
		if (this.body != null) {
			this.body.discard();
		}
		long small = this.headMemoryBytes;
		long remaining = HttpUtil.isTransferEncodingChunked(request) ? Long.MAX_VALUE
				: HttpUtil.getContentLength(request, 0L);
		clear();
		this.discarding = !ended;
		// A client that waits for status 100 may omit the body after a refusal.
		if (!ended && (remaining > MemoryBudget.MAX_SMALL_BODY_BYTES || HttpUtil.is100ContinueExpected(request))) {
			this.connection.closeAfterResponse();
		}
		this.connection.receive(
				new ReceivedRequest(toFullRequest(request, Unpooled.EMPTY_BUFFER), callerRequest, refusal, small, 0));
	}

	private void clear() {
		this.head = null;
		this.parsed = null;
		this.body = null;
		this.headMemoryBytes = 0;
		this.complete = false;
	}

	/**
	 * Releases a request that is not complete.
	 */
	void discard() {
		if (this.body != null) {
			this.body.discard();
		}
		this.services.memoryBudget().release(this.memory, this.headMemoryBytes);
		clear();
		this.discarding = false;
	}

}

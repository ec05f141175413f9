package org.hemlockgw.gateway.net;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.gateway.telemetry.MemoryExhaustion;

/**
 * Connection that carries one request at a time. Data received without a pending request
 * makes it unusable for further requests.
 */
final class HttpClientConnection extends ChannelInboundHandlerAdapter {

	private final HttpConnections connections;

	private final String address;

	private final Channel channel;

	private final ResponseDecoder decoder;

	private @Nullable HttpCall call;

	private @Nullable HttpResponseListener listener;

	private int requestCount;

	private boolean skippingResponse;

	private boolean responseStarted;

	private boolean reusable = true;

	private boolean connectionReset;

	private boolean dataReceived;

	private boolean partsPending;

	private long requestSentNanos;

	private long keepAliveMs = HttpConnections.DEFAULT_KEEP_ALIVE_MS;

	private long idleSinceNanos;

	HttpClientConnection(HttpConnections connections, String address, Channel channel, ResponseDecoder decoder) {
		this.connections = connections;
		this.address = address;
		this.channel = channel;
		this.decoder = decoder;
	}

	void send(HttpRequest head, ByteBuf body, HttpCall nextCall, HttpResponseListener responseListener) {
		this.call = nextCall;
		this.listener = responseListener;
		this.requestCount++;
		this.responseStarted = false;
		this.dataReceived = false;
		this.requestSentNanos = this.connections.nanoTime();
		nextCall.attach(this);
		this.channel.write(head);
		writeBody(body);
		// A failed write consumes the error that reading would report otherwise.
		this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((written) -> {
			MemoryExhaustion.exitIfCause(written.cause());
			this.connectionReset |= !written.isSuccess();
		});
	}

	// The channel copies a buffer that has several components, but not each of them.
	private void writeBody(ByteBuf body) {
		if (!body.isReadable()) {
			body.release();
			return;
		}
		if (body instanceof CompositeByteBuf parts) {
			parts.forEach((part) -> this.channel.write(new DefaultHttpContent(part.retainedSlice())));
			parts.release();
			return;
		}
		this.channel.write(new DefaultHttpContent(body));
	}

	boolean isUsable(long nowNanos) {
		return this.reusable && this.channel.isActive()
				&& nowNanos - this.idleSinceNanos < this.keepAliveMs * 1_000_000;
	}

	void close() {
		this.reusable = false;
		this.channel.close();
	}

	/**
	 * Closes the connection because its request timed out. If nothing was received,
	 * closes other idle connections to the server too.
	 */
	void closeOnTimeout() {
		close();
		if (!this.dataReceived) {
			this.connections.closeIdleSince(this.address, this.requestSentNanos);
		}
	}

	boolean isIdleSince(long nanos) {
		return this.idleSinceNanos - nanos <= 0;
	}

	void setAutoRead(boolean autoRead) {
		this.channel.config().setAutoRead(autoRead);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		try {
			readObject((HttpObject) msg);
		}
		finally {
			ReferenceCountUtil.release(msg);
		}
	}

	private void readObject(HttpObject msg) {
		if (msg.decoderResult().isFailure()) {
			fail("malformed response: " + msg.decoderResult().cause());
			return;
		}
		HttpResponseListener responseListener = this.listener;
		if (responseListener == null || this.call == null || this.call.hasEnded()) {
			// Data after the end of a response belongs to no request.
			close();
			return;
		}
		this.dataReceived = true;
		if (msg instanceof HttpResponse response && !readHead(response, responseListener)) {
			return;
		}
		if (msg instanceof HttpContent content && !this.skippingResponse && this.responseStarted) {
			ByteBuf bytes = (content.content() != null) ? content.content() : Unpooled.EMPTY_BUFFER;
			if (bytes.isReadable()) {
				this.partsPending = true;
				responseListener.contentReceived(bytes);
			}
		}
		if (msg instanceof LastHttpContent) {
			endResponse(responseListener);
		}
	}

	private boolean readHead(HttpResponse response, HttpResponseListener responseListener) {
		if (response.status().code() < 200) {
			this.skippingResponse = true;
			return true;
		}
		this.skippingResponse = !responseListener.acceptHead(response, this.requestCount > 1);
		if (this.skippingResponse) {
			this.reusable = false;
			return true;
		}
		if (this.call == null || this.call.hasEnded()) {
			return false;
		}
		this.responseStarted = true;
		this.keepAliveMs = HttpConnections.parseKeepAliveMs(response.headers().get("Keep-Alive"));
		boolean delimited = HttpUtil.isTransferEncodingChunked(response)
				|| response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
		if (!HttpUtil.isKeepAlive(response) || !delimited) {
			this.reusable = false;
		}
		return true;
	}

	private void endResponse(HttpResponseListener responseListener) {
		if (this.skippingResponse) {
			this.skippingResponse = false;
			return;
		}
		HttpCall completedCall = this.call;
		if (completedCall == null || completedCall.hasEnded()) {
			return;
		}
		this.partsPending = false;
		if (this.connectionReset) {
			fail("connection to " + this.address + " was reset");
			return;
		}
		this.call = null;
		this.listener = null;
		this.responseStarted = false;
		completedCall.markEnded();
		offerForReuse();
		responseListener.completed();
	}

	/**
	 * Makes the connection available for the next request, or closes it if it can't carry
	 * one.
	 * @return whether it is available
	 */
	boolean offerForReuse() {
		if (!this.reusable || !this.channel.isActive() || this.decoder.hasUndecodedBytes()) {
			close();
			return false;
		}
		this.channel.config().setAutoRead(true);
		this.idleSinceNanos = this.connections.nanoTime();
		this.connections.addIdle(this.address, this);
		return true;
	}

	private void deliverParts() {
		HttpResponseListener responseListener = this.listener;
		boolean pending = this.partsPending;
		this.partsPending = false;
		if (pending && responseListener != null && this.call != null && !this.call.hasEnded()) {
			responseListener.partsReceived();
		}
	}

	private void fail(String cause) {
		deliverParts();
		HttpCall failedCall = this.call;
		HttpResponseListener responseListener = this.listener;
		this.call = null;
		this.listener = null;
		close();
		if (failedCall != null && responseListener != null && !failedCall.hasEnded()) {
			failedCall.markEnded();
			responseListener.failed(true, cause);
		}
	}

	// Bytes that arrive while no request is pending belong to no request, even if they do
	// not form a response yet.
	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		deliverParts();
		if (this.listener == null && this.decoder.hasUndecodedBytes()) {
			close();
		}
		ctx.fireChannelReadComplete();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		MemoryExhaustion.exitIfCause(cause);
		if (cause instanceof IOException) {
			this.connectionReset = true;
		}
		fail("connection to " + this.address + ": " + cause);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		fail("connection to " + this.address + " was closed");
		this.connections.removeIdle(this.address, this);
	}

}

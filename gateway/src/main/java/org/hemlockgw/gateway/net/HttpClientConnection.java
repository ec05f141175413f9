package org.hemlockgw.gateway.net;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
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

/**
 * One connection that carries one request at a time. Bytes without a request make it
 * unfit for another one.
 */
final class HttpClientConnection extends ChannelInboundHandlerAdapter {

	private final HttpConnections owner;

	private final String address;

	private final Channel channel;

	private @Nullable HttpCall call;

	private @Nullable HttpResponseListener listener;

	private boolean skipping;

	private boolean inAnswer;

	private boolean reusable = true;

	private boolean reset;

	private boolean heard;

	private long sentNanos;

	private long keepAliveMs;

	private long idleSinceNanos;

	HttpClientConnection(HttpConnections owner, String address, Channel channel) {
		this.owner = owner;
		this.address = address;
		this.channel = channel;
	}

	void send(HttpRequest head, ByteBuf body, HttpCall next, HttpResponseListener receiver) {
		this.call = next;
		this.listener = receiver;
		this.inAnswer = false;
		this.heard = false;
		this.sentNanos = this.owner.nanoTime();
		next.attach(this);
		this.channel.write(head);
		if (body.isReadable()) {
			this.channel.write(new DefaultHttpContent(body));
		}
		else {
			body.release();
		}
		this.channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
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
	 * Closes a connection whose request was not answered in time.
	 */
	void closeOnTimeout() {
		close();
		if (!this.heard) {
			this.owner.closeIdleSince(this.address, this.sentNanos);
		}
	}

	boolean isIdleSince(long nanos) {
		return this.idleSinceNanos - nanos <= 0;
	}

	void setAutoRead(boolean on) {
		this.channel.config().setAutoRead(on);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		try {
			read((HttpObject) msg);
		}
		finally {
			ReferenceCountUtil.release(msg);
		}
	}

	private void read(HttpObject msg) {
		if (msg.decoderResult().isFailure()) {
			fail("malformed answer: " + msg.decoderResult().cause());
			return;
		}
		HttpResponseListener receiver = this.listener;
		if (receiver == null) {
			// Bytes after an answer belong to no request.
			close();
			return;
		}
		this.heard = true;
		if (msg instanceof HttpResponse response && !head(response, receiver)) {
			return;
		}
		if (msg instanceof HttpContent content && !this.skipping && this.inAnswer) {
			ByteBuf data = (content.content() != null) ? content.content() : Unpooled.EMPTY_BUFFER;
			if (data.isReadable()) {
				receiver.contentReceived(data);
			}
		}
		if (msg instanceof LastHttpContent) {
			end(receiver);
		}
	}

	private boolean head(HttpResponse response, HttpResponseListener receiver) {
		if (response.status().code() < 200) {
			this.skipping = true;
			return true;
		}
		this.skipping = !receiver.acceptHead(response);
		if (this.skipping) {
			this.reusable = false;
			return true;
		}
		if (this.call == null || this.call.hasEnded()) {
			return false;
		}
		this.inAnswer = true;
		this.keepAliveMs = HttpConnections.parseKeepAliveMs(response.headers().get("Keep-Alive"));
		boolean delimited = HttpUtil.isTransferEncodingChunked(response)
				|| response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
		if (!HttpUtil.isKeepAlive(response) || !delimited) {
			this.reusable = false;
		}
		return true;
	}

	private void end(HttpResponseListener receiver) {
		if (this.skipping) {
			this.skipping = false;
			return;
		}
		HttpCall done = this.call;
		if (done == null || done.hasEnded()) {
			return;
		}
		if (this.reset) {
			fail("connection to " + this.address + " was reset");
			return;
		}
		this.call = null;
		this.listener = null;
		this.inAnswer = false;
		done.markEnded();
		if (this.reusable && this.channel.isActive()) {
			this.channel.config().setAutoRead(true);
			this.idleSinceNanos = this.owner.nanoTime();
			this.owner.addIdle(this.address, this);
		}
		else {
			close();
		}
		receiver.completed();
	}

	private void fail(String cause) {
		HttpCall failed = this.call;
		HttpResponseListener receiver = this.listener;
		this.call = null;
		this.listener = null;
		close();
		if (failed != null && receiver != null && !failed.hasEnded()) {
			failed.markEnded();
			receiver.failed(true, cause);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof IOException) {
			this.reset = true;
		}
		fail("connection to " + this.address + ": " + cause);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		fail("connection to " + this.address + " was closed");
		this.owner.removeIdle(this.address, this);
	}

}

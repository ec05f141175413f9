package org.hemlockgw.gateway.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.route.CallerLimits;
import org.hemlockgw.core.route.RoutingTable;

/**
 * One caller's connection. Requests are handled one after another.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final Logger logger = LoggerFactory.getLogger(CallerConnection.class);

	/** Requests that may wait behind the one that is handled. */
	private static final int MAX_PIPELINED = 16;

	private final Services services;

	private final Channel channel;

	private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

	private @Nullable Exchange current;

	private boolean closing;

	private Deadline idle;

	private @Nullable Future<?> idleTimer;

	public CallerConnection(Services services, Channel channel) {
		this.services = services;
		this.channel = channel;
		this.idle = idle();
	}

	private Deadline idle() {
		RoutingTable routes = this.services.routes().get();
		CallerLimits limits = (routes != null) ? routes.limits() : CallerLimits.DEFAULT;
		return new Deadline(this.services.nanoClock(), limits.idleTimeout().toMillis());
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		watchIdle();
	}

	private void watchIdle() {
		long leftMs = this.idle.remainingMs();
		if (this.current == null && leftMs <= 0) {
			this.channel.close();
			return;
		}
		long nextMs = (this.current != null) ? this.idle.limitMs() : leftMs;
		this.idleTimer = this.services.loop().schedule(this::watchIdle, Math.max(1, nextMs), TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes the connection as soon as no request is handled.
	 */
	public void closeWhenIdle() {
		if (this.current == null) {
			this.channel.close();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		if (!(msg instanceof FullHttpRequest request) || this.closing) {
			ReferenceCountUtil.release(msg);
			return;
		}
		if (request.decoderResult().isFailure()) {
			logger.info("closing a caller's connection: {}", String.valueOf(request.decoderResult().cause()));
			request.release();
			sendError(400, 0, "malformed request");
			return;
		}
		if (this.current != null) {
			if (this.waiting.size() >= MAX_PIPELINED) {
				logger.info("closing a caller's connection: more than {} requests at once", MAX_PIPELINED);
				request.release();
				ctx.close();
				return;
			}
			this.waiting.add(request);
			return;
		}
		begin(request);
	}

	private void begin(FullHttpRequest request) {
		Exchange exchange = new Exchange(this.services, this, request);
		this.current = exchange;
		exchange.start();
	}

	/**
	 * Sends an answer of this daemon's own and ends the exchange.
	 * @param status status of the answer
	 * @param retryAfterMs when to come back in milliseconds; 0 if not said
	 * @param reason text of the body
	 */
	void sendError(int status, long retryAfterMs, String reason) {
		byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(text));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
		if (retryAfterMs > 0) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMs / 1000.0);
		}
		if (status == 400) {
			this.closing = true;
		}
		sendResponse(response);
	}

	/**
	 * Sends a whole answer and ends the exchange.
	 * @param response the answer
	 */
	void sendResponse(DefaultFullHttpResponse response) {
		applyConnectionClose(response);
		this.channel.writeAndFlush(response).addListener((done) -> finishExchange());
	}

	/**
	 * Says that the connection will close, if it will. Called for the head of each
	 * answer.
	 * @param response the answer
	 */
	void applyConnectionClose(HttpResponse response) {
		Exchange exchange = this.current;
		boolean asked = exchange != null && !HttpUtil.isKeepAlive(exchange.request());
		if (asked || this.services.draining().getAsBoolean()) {
			this.closing = true;
		}
		if (this.closing) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	/**
	 * Ends the exchange; the next request is handled.
	 */
	void finishExchange() {
		Exchange done = this.current;
		this.current = null;
		this.idle = idle();
		if (done != null) {
			done.request().release();
		}
		if (this.closing || (this.services.draining().getAsBoolean() && this.waiting.isEmpty())) {
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		FullHttpRequest next = this.waiting.poll();
		if (next != null) {
			begin(next);
		}
	}

	Channel channel() {
		return this.channel;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.current != null) {
			this.current.setWritable(ctx.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
		}
		Exchange open = this.current;
		this.current = null;
		if (open != null) {
			open.callerDisconnected();
			open.request().release();
		}
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (!(cause instanceof IOException)) {
			logger.warn("closing a caller's connection", cause);
		}
		ctx.close();
	}

}

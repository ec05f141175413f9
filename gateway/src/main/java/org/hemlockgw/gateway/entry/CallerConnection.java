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
import io.netty.channel.ChannelHandler;
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
 * Connection from a caller. Requests on one connection are handled one after another.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final Logger logger = LoggerFactory.getLogger(CallerConnection.class);

	/**
	 * Time in milliseconds after it was accepted within which the first request of a
	 * connection is expected.
	 */
	public static final long FIRST_REQUEST_MS = 300;

	/** Maximum number of pipelined requests that wait for the current one. */
	private static final int MAX_PIPELINED_REQUESTS = 16;

	private final Services services;

	private final Channel channel;

	private final Deque<FullHttpRequest> pendingRequests = new ArrayDeque<>();

	private @Nullable Exchange currentExchange;

	private boolean receiving;

	private boolean used;

	private boolean closing;

	private final Deadline firstRequestLimit;

	private Deadline idleLimit;

	private @Nullable Future<?> idleTimer;

	public CallerConnection(Services services, Channel channel) {
		this.services = services;
		this.channel = channel;
		this.firstRequestLimit = new Deadline(services.nanoClock(), FIRST_REQUEST_MS);
		this.idleLimit = newIdleLimit();
	}

	/**
	 * Returns a handler for the beginning of the pipeline, which notices requests that
	 * are not decoded yet.
	 * @return the handler
	 */
	public ChannelHandler byteObserver() {
		return new ChannelInboundHandlerAdapter() {
			@Override
			public void channelRead(ChannelHandlerContext ctx, Object msg) {
				CallerConnection.this.receiving = true;
				ctx.fireChannelRead(msg);
			}
		};
	}

	private Deadline newIdleLimit() {
		RoutingTable routes = this.services.routes().get();
		CallerLimits limits = (routes != null) ? routes.limits() : CallerLimits.DEFAULT;
		return new Deadline(this.services.nanoClock(), limits.idleTimeout().toMillis());
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		checkIdle();
	}

	private void checkIdle() {
		long remainingMs = this.idleLimit.remainingMs();
		if (this.currentExchange == null && remainingMs <= 0) {
			this.channel.close();
			return;
		}
		long delayMs = (this.currentExchange != null) ? this.idleLimit.limitMs() : remainingMs;
		this.idleTimer = this.services.loop().schedule(this::checkIdle, Math.max(1, delayMs), TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes the connection if no request is in progress or expected. Any other
	 * connection is closed after its last response while the daemon is draining.
	 */
	public void closeWhenIdle() {
		if (this.currentExchange != null || this.receiving) {
			return;
		}
		long remainingMs = this.firstRequestLimit.remainingMs();
		if (!this.used && remainingMs > 0) {
			this.services.loop().schedule(this::closeWhenIdle, remainingMs, TimeUnit.MILLISECONDS);
			return;
		}
		this.channel.close();
	}

	/**
	 * Ends the current request, because this daemon can't wait for its response.
	 */
	public void endExchange() {
		this.pendingRequests.forEach(ReferenceCountUtil::release);
		this.pendingRequests.clear();
		if (this.currentExchange != null) {
			this.currentExchange.endForShutdown();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object msg) {
		this.receiving = false;
		this.used = true;
		if (!(msg instanceof FullHttpRequest request) || this.closing) {
			ReferenceCountUtil.release(msg);
			return;
		}
		if (request.decoderResult().isFailure()) {
			logger.info("closing a caller connection: {}", String.valueOf(request.decoderResult().cause()));
			request.release();
			sendError(400, 0, "malformed request");
			return;
		}
		if (this.currentExchange != null) {
			if (this.pendingRequests.size() >= MAX_PIPELINED_REQUESTS) {
				logger.info("closing a caller connection: more than {} pipelined requests", MAX_PIPELINED_REQUESTS);
				request.release();
				ctx.close();
				return;
			}
			this.pendingRequests.add(request);
			return;
		}
		begin(request);
	}

	private void begin(FullHttpRequest request) {
		Exchange exchange = new Exchange(this.services, this, request);
		this.currentExchange = exchange;
		exchange.start();
	}

	/**
	 * Sends an error response generated by this daemon and ends the exchange.
	 * @param status status code of the response
	 * @param retryAfterMs value for the Retry-After header, in milliseconds; 0 to send no
	 * such header
	 * @param reason text of the body
	 */
	void sendError(int status, long retryAfterMs, String reason) {
		byte[] body = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
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
	 * Sends a complete response and ends the exchange.
	 * @param response the response
	 */
	void sendResponse(DefaultFullHttpResponse response) {
		applyConnectionClose(response);
		this.channel.writeAndFlush(response).addListener((sent) -> finishExchange());
	}

	/**
	 * Adds {@code Connection: close} if the connection will be closed after the response.
	 * Must be called for the head of each response.
	 * @param response the response
	 */
	void applyConnectionClose(HttpResponse response) {
		Exchange exchange = this.currentExchange;
		boolean closeRequested = exchange != null && !HttpUtil.isKeepAlive(exchange.request());
		if (closeRequested || this.services.shutdown().isActive()) {
			this.closing = true;
		}
		if (this.closing) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	/**
	 * Ends the current exchange, then closes the connection or begins the next request.
	 */
	void finishExchange() {
		Exchange finished = this.currentExchange;
		this.currentExchange = null;
		this.idleLimit = newIdleLimit();
		if (finished != null) {
			finished.request().release();
		}
		if (this.closing || (this.services.shutdown().isActive() && this.pendingRequests.isEmpty())) {
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		FullHttpRequest next = this.pendingRequests.poll();
		if (next != null) {
			begin(next);
		}
	}

	Channel channel() {
		return this.channel;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		if (this.currentExchange != null) {
			this.currentExchange.setWritable(ctx.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
		}
		Exchange unfinished = this.currentExchange;
		this.currentExchange = null;
		if (unfinished != null) {
			unfinished.callerDisconnected();
			unfinished.request().release();
		}
		this.pendingRequests.forEach(ReferenceCountUtil::release);
		this.pendingRequests.clear();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (!(cause instanceof IOException)) {
			logger.warn("closing a caller connection after an unexpected error", cause);
		}
		ctx.close();
	}

}

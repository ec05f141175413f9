package org.hemlockgw.gateway.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.limit.ClientMemory;
import org.hemlockgw.core.limit.ClientMemory.Phase;
import org.hemlockgw.core.limit.CloseCause;
import org.hemlockgw.core.limit.ConnectionGroup;
import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.core.route.CallerLimits;
import org.hemlockgw.core.route.RoutingTable;
import org.hemlockgw.gateway.net.FailedWrites;
import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.MemoryExhaustion;

/**
 * Connection from a caller. Requests on one connection are handled one after another.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter implements ClientMemory.Owner {

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

	/**
	 * Time in milliseconds for which a body is still read after its request was refused,
	 * so that the response isn't lost with a reset of the connection.
	 */
	private static final long LINGER_MS = 1000;

	private final Deque<ReceivedRequest> pendingRequests = new ArrayDeque<>();

	private final MemoryBudget budget;

	private @Nullable ClientMemory memory;

	private @Nullable CallerGate gate;

	private @Nullable RequestAssembler assembler;

	private @Nullable ReceivedRequest currentRequest;

	private @Nullable Exchange currentExchange;

	private boolean receiving;

	private boolean used;

	private boolean closing;

	private boolean released;

	private final Deadline firstRequestLimit;

	private Deadline idleLimit;

	private @Nullable Future<?> idleTimer;

	public CallerConnection(Services services, Channel channel) {
		this.services = services;
		this.channel = channel;
		this.budget = services.memoryBudget();
		this.firstRequestLimit = new Deadline(services.nanoClock(), FIRST_REQUEST_MS);
		this.idleLimit = newIdleLimit();
	}

	/**
	 * Adds the handlers of the connection to its channel.
	 * @param group connections of the port
	 * @param codec decodes requests and encodes responses
	 * @return false if there are too many connections and this one must be closed
	 */
	public boolean open(ConnectionGroup group, ChannelHandler codec) {
		ClientMemory opened = this.budget.open(group, this);
		if (opened == null) {
			return false;
		}
		CallerGate newGate = new CallerGate(this, this.budget, opened);
		RequestAssembler newAssembler = new RequestAssembler(this.services, this, opened);
		this.memory = opened;
		this.gate = newGate;
		this.assembler = newAssembler;
		this.channel.pipeline().addLast(newGate, codec, newAssembler, this);
		return true;
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
		boolean receivingBody = this.assembler != null && this.assembler.isReceivingBody();
		if (this.currentExchange == null && !receivingBody && remainingMs <= 0) {
			this.channel.close();
			return;
		}
		long delayMs = (this.currentExchange != null || receivingBody) ? this.idleLimit.limitMs() : remainingMs;
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
		releasePending();
		if (this.currentExchange != null) {
			this.currentExchange.endForShutdown();
		}
	}

	private void releasePending() {
		this.pendingRequests.forEach(this::release);
		this.pendingRequests.clear();
	}

	private void release(ReceivedRequest request) {
		request.http().release();
		if (this.memory != null) {
			this.budget.release(this.memory, request.smallBytes());
			this.budget.releaseLarge(this.memory, request.largeBytes());
		}
	}

	boolean isBusy() {
		return this.currentExchange != null;
	}

	void bytesReceived() {
		this.receiving = true;
	}

	void headDecoded() {
		if (this.gate != null) {
			this.gate.headDecoded();
		}
	}

	/**
	 * Called when the head of a request was received and its body is to be kept.
	 */
	void beginBody() {
		if (this.currentExchange == null && this.memory != null) {
			this.budget.enter(this.memory, Phase.BODY);
		}
	}

	/**
	 * Stops reading while a body waits for memory or many bytes of later requests have
	 * arrived, and continues otherwise.
	 */
	void updateReading() {
		boolean stopped = (this.memory != null && this.memory.isWaiting()) || (this.gate != null && this.gate.isFull());
		this.channel.config().setAutoRead(!stopped);
	}

	void closeAfterResponse() {
		this.closing = true;
	}

	void discardedBodyEnded() {
		if (this.currentExchange == null && this.closing) {
			this.channel.close();
		}
		else if (this.currentExchange == null) {
			enterIdle();
		}
	}

	@Override
	public void largeBodyDecided(boolean granted) {
		ChannelHandlerContext ctx = (this.assembler != null) ? this.channel.pipeline().context(this.assembler) : null;
		if (ctx != null && this.assembler != null) {
			this.assembler.largeBodyDecided(ctx, granted);
			if (this.currentExchange == null && this.gate != null) {
				if (this.assembler.isReceivingBody()) {
					beginBody();
				}
				this.gate.passHeld();
			}
			updateReading();
		}
	}

	@Override
	public void close(CloseCause cause) {
		logger.atInfo()
			.addKeyValue(LogFields.PEER, this.channel.remoteAddress())
			.addKeyValue(LogFields.REASON, cause.label())
			.log("closed the connection of a caller");
		releaseAll();
		this.channel.close();
	}

	@Override
	public long unsentBytes() {
		ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
		return (buffer != null) ? buffer.totalPendingWriteBytes() - buffer.currentProgress() : 0;
	}

	void handleMalformed(Throwable cause) {
		logger.info("closing a caller connection: {}", String.valueOf(cause));
		if (this.currentExchange != null) {
			// A response now would be taken for that of the request in progress.
			this.channel.close();
			return;
		}
		this.receiving = false;
		this.used = true;
		sendError(400, 0, "malformed request");
	}

	void receive(ReceivedRequest request) {
		this.receiving = false;
		this.used = true;
		if (this.released || (this.closing && request.refusal() == null)) {
			release(request);
			return;
		}
		if (this.currentExchange != null) {
			if (this.pendingRequests.size() >= MAX_PIPELINED_REQUESTS) {
				logger.info("closing a caller connection: more than {} pipelined requests", MAX_PIPELINED_REQUESTS);
				release(request);
				this.channel.close();
				return;
			}
			this.pendingRequests.add(request);
			return;
		}
		begin(request);
	}

	private void begin(ReceivedRequest request) {
		if (this.memory != null) {
			this.budget.enter(this.memory, Phase.ANSWERING);
		}
		Exchange exchange = new Exchange(this.services, this, request);
		this.currentExchange = exchange;
		this.currentRequest = request;
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
		ChannelFuture sent = this.channel.writeAndFlush(response);
		ClientMemory held = this.memory;
		if (held != null && !sent.isDone()) {
			long bytes = Math.max(0, unsentBytes());
			this.budget.charge(held, bytes);
			sent.addListener((done) -> this.budget.release(held, bytes));
		}
		sent.addListener(FailedWrites.CLOSE);
		sent.addListener((done) -> finishExchange());
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
		ReceivedRequest finished = this.currentRequest;
		this.currentExchange = null;
		this.currentRequest = null;
		this.idleLimit = newIdleLimit();
		if (finished != null) {
			release(finished);
		}
		if (this.released || !this.channel.isActive()) {
			return;
		}
		boolean receivingBody = this.assembler != null && this.assembler.isReceivingBody();
		if (this.closing || (this.services.shutdown().isActive() && this.pendingRequests.isEmpty())) {
			if (this.assembler != null && this.assembler.isDiscarding()) {
				linger();
				return;
			}
			this.channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		ReceivedRequest next = this.pendingRequests.poll();
		if (next != null) {
			begin(next);
			return;
		}
		if (this.memory == null || this.memory.isWaiting()) {
			return;
		}
		if (receivingBody) {
			this.budget.enter(this.memory, Phase.BODY);
		}
		else {
			enterIdle();
		}
		if (this.gate != null) {
			this.gate.passHeld();
		}
	}

	private void enterIdle() {
		if (this.memory != null) {
			this.budget.enter(this.memory, Phase.IDLE);
		}
	}

	private void linger() {
		if (this.memory != null) {
			this.budget.enter(this.memory, Phase.BODY);
		}
		if (this.gate != null) {
			this.gate.passHeld();
		}
		if (this.channel instanceof SocketChannel socket && socket.isActive()) {
			socket.shutdownOutput();
			this.services.loop().schedule(() -> this.channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
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

	private void releaseAll() {
		this.closing = true;
		this.released = true;
		Exchange unfinished = this.currentExchange;
		ReceivedRequest unfinishedRequest = this.currentRequest;
		this.currentExchange = null;
		this.currentRequest = null;
		if (unfinished != null) {
			unfinished.callerDisconnected();
		}
		if (unfinishedRequest != null) {
			release(unfinishedRequest);
		}
		releasePending();
		if (this.gate != null) {
			this.gate.discard();
		}
		if (this.assembler != null) {
			this.assembler.discard();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
		}
		releaseAll();
		if (this.memory != null) {
			this.budget.remove(this.memory);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		MemoryExhaustion.exitIfCause(cause);
		if (!(cause instanceof IOException)) {
			logger.warn("closing a caller connection after an unexpected error", cause);
		}
		ctx.close();
	}

}

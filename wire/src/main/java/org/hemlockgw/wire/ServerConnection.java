package org.hemlockgw.wire;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.generated.peer.Frame;
import org.hemlockgw.generated.peer.HeartbeatAck;
import org.hemlockgw.generated.peer.Request;
import org.hemlockgw.generated.peer.Response;

/**
 * Server side of one connection. All fields are confined to the connection's event loop.
 */
final class ServerConnection extends SimpleChannelInboundHandler<Frame> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Bounds the memory that one peer can take up with requests. */
	private static final int MAX_OPEN_REQUESTS = 4096;

	private final LocalPeer self;

	private final RequestHandler handler;

	private final Executor executor;

	private final PeerTimings timings;

	private final ChannelGroup connections;

	private final AtomicInteger openRequests;

	private final SenderWatch watch;

	private final Map<Long, Request> open = new HashMap<>();

	private boolean received;

	private @Nullable Future<?> check;

	ServerConnection(LocalPeer self, RequestHandler handler, Executor executor, PeerTimings timings,
			ChannelGroup connections, AtomicInteger openRequests) {
		this.self = self;
		this.handler = handler;
		this.executor = executor;
		this.timings = timings;
		this.connections = connections;
		this.openRequests = openRequests;
		this.watch = new SenderWatch(self.listener());
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.connections.add(ctx.channel());
		// Twice the deadline, because each check sees only whether a frame came since the
		// last.
		long intervalMs = this.timings.deadline().toMillis() * 2;
		this.check = ctx.executor()
			.scheduleAtFixedRate(() -> checkSilence(ctx), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
	}

	private void checkSilence(ChannelHandlerContext ctx) {
		if (!this.received && !this.open.isEmpty()) {
			logger.atInfo()
				.log("closing the silent connection from %s with %d open requests", ctx.channel().remoteAddress(),
						this.open.size());
			ctx.close();
		}
		this.received = false;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
		this.received = true;
		this.watch.observe(frame);
		switch (frame.getBodyCase()) {
			case HEARTBEAT -> write(ctx, this.self.frame(0).setHeartbeatAck(HeartbeatAck.getDefaultInstance()).build());
			case REQUEST -> serve(ctx, frame.getCorrelation(), frame.getRequest());
			default -> logger.atWarning()
				.log("ignoring a frame of kind %s from %s", frame.getBodyCase(), ctx.channel().remoteAddress());
		}
	}

	private void serve(ChannelHandlerContext ctx, long correlation, Request request) {
		if (this.open.size() >= MAX_OPEN_REQUESTS) {
			fail(ctx, correlation, CallFailure.notRun(ErrorCode.OVERLOADED,
					"at most " + MAX_OPEN_REQUESTS + " open requests on one peer connection"));
			return;
		}
		if (this.open.put(correlation, request) == null) {
			this.openRequests.incrementAndGet();
		}
		try {
			this.executor.execute(() -> run(ctx, correlation, request));
		}
		catch (RejectedExecutionException ex) {
			fail(ctx, correlation, CallFailure.notRun(ErrorCode.SHUTTING_DOWN, "daemon is shutting down"));
		}
	}

	private void run(ChannelHandlerContext ctx, long correlation, Request request) {
		CompletableFuture<Response> result;
		try {
			result = this.handler.handle(request, (event) -> event(ctx, correlation, event));
		}
		catch (RuntimeException ex) {
			logger.atWarning().withCause(ex).log("peer request of kind %s failed", request.getKindCase());
			result = CompletableFuture.failedFuture(ex);
		}
		// Frames are always queued on the event loop, so that an answer written by it
		// can't overtake events of other threads.
		result.whenComplete((response, thrown) -> ctx.executor().execute(() -> {
			if (thrown != null) {
				fail(ctx, correlation, CallFailure.of(thrown));
				return;
			}
			respond(ctx, correlation, response);
		}));
	}

	private void event(ChannelHandlerContext ctx, long correlation, CallEvent event) {
		Frame frame = this.self.frame(correlation).setEvent(PeerMessages.event(event)).build();
		ctx.executor().execute(() -> write(ctx, frame));
	}

	private void respond(ChannelHandlerContext ctx, long correlation, Response response) {
		Frame frame = this.self.frame(correlation).setResponse(response).build();
		if (frame.getSerializedSize() > FramePipeline.MAX_FRAME_BYTES) {
			fail(ctx, correlation, new CallFailure(ErrorCode.LIMIT_REACHED, Verdict.RAN,
					"the answer is larger than " + FramePipeline.MAX_FRAME_BYTES + " bytes"));
			return;
		}
		close(correlation);
		write(ctx, frame);
	}

	private void fail(ChannelHandlerContext ctx, long correlation, CallFailure failure) {
		close(correlation);
		write(ctx, this.self.frame(correlation).setFailure(PeerMessages.failure(failure)).build());
	}

	private void close(long correlation) {
		if (this.open.remove(correlation) != null) {
			this.openRequests.decrementAndGet();
		}
	}

	private void write(ChannelHandlerContext ctx, Frame frame) {
		if (!ctx.channel().isActive()) {
			return;
		}
		if (!ctx.channel().isWritable()) {
			logger.atWarning()
				.log("closing the connection from %s, which does not read its events", ctx.channel().remoteAddress());
			ctx.close();
			return;
		}
		ctx.writeAndFlush(frame, ctx.voidPromise());
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (this.check != null) {
			this.check.cancel(false);
		}
		this.openRequests.addAndGet(-this.open.size());
		this.open.values().forEach(this::abandon);
		this.open.clear();
	}

	private void abandon(Request request) {
		try {
			this.executor.execute(() -> this.handler.abandon(request));
		}
		catch (RejectedExecutionException ex) {
			logger.atFine().log("not cancelling an attempt, because the daemon is shutting down");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		logger.atInfo().log("closing the connection from %s: %s", ctx.channel().remoteAddress(), cause);
		ctx.close();
	}

}

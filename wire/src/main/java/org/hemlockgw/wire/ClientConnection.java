package org.hemlockgw.wire;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.generated.peer.Frame;
import org.hemlockgw.generated.peer.Heartbeat;

/**
 * Client side of one connection. Fields are confined to the connection's event loop, but
 * for {@code usable}.
 */
final class ClientConnection extends SimpleChannelInboundHandler<Frame> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final String address;

	private final LocalPeer self;

	private final PeerTimings timings;

	private final SenderWatch watch;

	private final Map<Long, PendingRequest> open = new HashMap<>();

	private volatile boolean usable = true;

	private long correlation;

	private long lastReceivedNanos;

	private long lastTickNanos;

	private @Nullable Future<?> timer;

	ClientConnection(String address, LocalPeer self, PeerTimings timings) {
		this.address = address;
		this.self = self;
		this.timings = timings;
		this.watch = new SenderWatch(self.listener());
	}

	/**
	 * Tells whether new requests may take this connection.
	 * @return false once it was silent for too long or is closed
	 */
	boolean usable() {
		return this.usable;
	}

	void retire() {
		this.usable = false;
	}

	/**
	 * Sends a request. Runs on the event loop.
	 * @param ctx the connection
	 * @param pending the request
	 */
	void send(ChannelHandlerContext ctx, PendingRequest pending) {
		if (!ctx.channel().isActive()) {
			pending.disconnected(false, "connection to " + this.address + " was closed before the request was sent");
			return;
		}
		if (this.open.isEmpty()) {
			startHeartbeats(ctx);
		}
		long id = ++this.correlation;
		this.open.put(id, pending);
		Frame frame = this.self.frame(id).setRequest(pending.request()).build();
		ctx.writeAndFlush(frame).addListener((written) -> {
			if (!written.isSuccess() && this.open.remove(id) != null) {
				pending.disconnected(true, "sending to " + this.address + " failed: " + written.cause());
			}
		});
	}

	private void startHeartbeats(ChannelHandlerContext ctx) {
		cancelTimer();
		this.lastReceivedNanos = System.nanoTime();
		this.lastTickNanos = this.lastReceivedNanos;
		long intervalMs = this.timings.heartbeatInterval().toMillis();
		this.timer = ctx.executor().scheduleAtFixedRate(() -> tick(ctx), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
	}

	private void tick(ChannelHandlerContext ctx) {
		long now = System.nanoTime();
		// After a pause of this process the peer's frames may still be unread in the
		// socket, so the silence counts from here.
		if (now - this.lastTickNanos > 2 * this.timings.heartbeatInterval().toNanos()) {
			this.lastReceivedNanos = now;
		}
		this.lastTickNanos = now;
		Duration silence = Duration.ofNanos(now - this.lastReceivedNanos);
		if (silence.compareTo(this.timings.deadline()) >= 0) {
			logger.atInfo()
				.log("closing the connection to %s after %d ms of silence", this.address, silence.toMillis());
			ctx.close();
			return;
		}
		if (silence.compareTo(this.timings.suspectAfter()) >= 0) {
			this.usable = false;
		}
		ctx.writeAndFlush(this.self.frame(0).setHeartbeat(Heartbeat.getDefaultInstance()).build(), ctx.voidPromise());
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
		this.lastReceivedNanos = System.nanoTime();
		this.watch.observe(frame);
		PendingRequest pending = this.open.get(frame.getCorrelation());
		if (pending == null) {
			return;
		}
		switch (frame.getBodyCase()) {
			case EVENT -> {
				if (!pending.event(PeerMessages.event(frame.getEvent()))) {
					forget(ctx, frame.getCorrelation());
				}
			}
			case RESPONSE -> {
				forget(ctx, frame.getCorrelation());
				pending.succeed(frame.getResponse());
			}
			case FAILURE -> {
				forget(ctx, frame.getCorrelation());
				pending.fail(PeerMessages.failure(frame.getFailure()));
			}
			default -> logger.atWarning().log("ignoring a frame of kind %s from %s", frame.getBodyCase(), this.address);
		}
	}

	private void forget(ChannelHandlerContext ctx, long id) {
		this.open.remove(id);
		if (!this.open.isEmpty()) {
			return;
		}
		cancelTimer();
		if (!this.usable) {
			ctx.close();
			return;
		}
		this.timer = ctx.executor()
			.schedule(() -> closeIdle(ctx), this.timings.idleClose().toMillis(), TimeUnit.MILLISECONDS);
	}

	private void closeIdle(ChannelHandlerContext ctx) {
		this.usable = false;
		ctx.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.usable = false;
		cancelTimer();
		List<PendingRequest> lost = List.copyOf(this.open.values());
		this.open.clear();
		lost.forEach((pending) -> pending.disconnected(true, "connection to " + this.address + " was lost"));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		logger.atInfo().log("closing the connection to %s: %s", this.address, cause);
		ctx.close();
	}

}

package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.gateway.net.HttpConnections;
import org.hemlockgw.gateway.telemetry.LogFields;
import org.hemlockgw.gateway.telemetry.MemoryExhaustion;

/**
 * Connections to other daemons, one for each address. A connection is replaced if the
 * first reply to a request is overdue and no other data arrives on it. All methods must
 * be called on the event loop.
 */
public final class PeerLinks {

	private static final Logger logger = LoggerFactory.getLogger(PeerLinks.class);

	/** Connect timeout in milliseconds; the latency between VMs is about 1 ms. */
	private static final int CONNECT_TIMEOUT_MS = 500;

	/**
	 * Time in milliseconds without received data after which a connection with an overdue
	 * reply is closed.
	 */
	private static final long MAX_SILENCE_MS = 600;

	/**
	 * Maximum number of listeners for late replies on one connection, so that lost
	 * replies don't use memory without end.
	 */
	private static final int MAX_LATE_REPLIES = 256;

	private final EventLoop loop;

	private final String self;

	private final LongSupplier nanoClock;

	private final Map<String, Link> links = new HashMap<>();

	private long lastCorrelation;

	/**
	 * Creates an instance that opens connections on demand.
	 * @param loop event loop
	 * @param self name of this daemon
	 * @param nanoClock monotonic clock in nanoseconds
	 */
	public PeerLinks(EventLoop loop, String self, LongSupplier nanoClock) {
		this.loop = loop;
		this.self = self;
		this.nanoClock = nanoClock;
	}

	/**
	 * Sends a request.
	 * @param address address of the daemon as IP and port
	 * @param message the request
	 * @param timeoutMs time limit for the first reply in milliseconds
	 * @param listener receives the replies or a failure
	 */
	public void request(String address, PeerMessage message, long timeoutMs, ReplyListener listener) {
		Link link = link(address);
		long correlation = ++this.lastCorrelation;
		PendingReply pending = new PendingReply(link, correlation, listener);
		link.pendingReplies.put(correlation, pending);
		pending.startTimer(timeoutMs);
		link.send(correlation, message);
	}

	/**
	 * Sends a one-way message, which gets no reply.
	 * @param address address of the daemon as IP and port
	 * @param message the message
	 */
	public void sendOneWay(String address, PeerMessage message) {
		link(address).send(0, message);
	}

	private Link link(String address) {
		return this.links.computeIfAbsent(address, Link::new);
	}

	private final class Link extends SimpleChannelInboundHandler<ByteBuf> {

		private final String address;

		private final Map<Long, PendingReply> pendingReplies = new HashMap<>();

		private final Map<Long, ReplyListener> lateReplies = new LinkedHashMap<>();

		private final @Nullable ChannelFuture connectFuture;

		private boolean refused;

		private long lastReadNanos = PeerLinks.this.nanoClock.getAsLong();

		Link(String address) {
			this.address = address;
			InetSocketAddress target = HttpConnections.parseAddress(address);
			this.connectFuture = (target != null) ? connect(target) : null;
			if (this.connectFuture != null) {
				this.connectFuture.addListener((done) -> {
					if (!done.isSuccess()) {
						this.refused = isRefusal(done.cause());
						close("can't connect: " + done.cause());
					}
				});
				send(0, new PeerMessage.Hello(PeerLinks.this.self));
			}
		}

		// Other causes, such as an unreachable network, do not show that the process has
		// ended.
		private static boolean isRefusal(Throwable cause) {
			return cause instanceof ConnectException
					&& String.valueOf(cause.getMessage()).startsWith("Connection refused");
		}

		private ChannelFuture connect(InetSocketAddress target) {
			return new Bootstrap().group(PeerLinks.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
				.handler(new ChannelInitializer<SocketChannel>() {
					@Override
					protected void initChannel(SocketChannel channel) {
						PeerFrames.addDecoder(channel.pipeline());
						channel.pipeline().addLast(Link.this);
					}
				})
				.connect(target);
		}

		void send(long correlation, PeerMessage message) {
			if (this.connectFuture == null) {
				PeerLinks.this.loop.execute(() -> close("'" + this.address + "' is not ip:port"));
				return;
			}
			Channel channel = this.connectFuture.channel();
			if (this.connectFuture.isDone()) {
				if (channel.isActive()) {
					PeerFrames.write(channel, correlation, message);
				}
				return;
			}
			this.connectFuture.addListener((done) -> {
				if (done.isSuccess()) {
					PeerFrames.write(channel, correlation, message);
				}
			});
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
			this.lastReadNanos = PeerLinks.this.nanoClock.getAsLong();
			PeerCodec.Frame decoded = PeerCodec.decode(PeerFrames.readBytes(frame));
			PendingReply pending = this.pendingReplies.get(decoded.correlation());
			if (pending == null) {
				ReplyListener late = this.lateReplies.remove(decoded.correlation());
				if (late != null) {
					late.onLateReply(decoded.message());
				}
				return;
			}
			pending.cancelTimer();
			pending.answered = true;
			if (decoded.message().isLastReply()) {
				this.pendingReplies.remove(decoded.correlation());
			}
			else if (decoded.message().nextReplyTimeoutMs() > 0) {
				pending.startTimer(decoded.message().nextReplyTimeoutMs());
			}
			pending.listener.onReply(decoded.message());
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			close("connection was lost");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			MemoryExhaustion.exitIfCause(cause);
			close(String.valueOf(cause));
		}

		void awaitLateReply(long correlation, ReplyListener listener) {
			this.lateReplies.put(correlation, listener);
			if (this.lateReplies.size() > MAX_LATE_REPLIES) {
				this.lateReplies.remove(this.lateReplies.keySet().iterator().next());
			}
		}

		void close(String cause) {
			if (PeerLinks.this.links.remove(this.address, this)) {
				logger.atInfo()
					.addKeyValue(LogFields.PEER, this.address)
					.addKeyValue(LogFields.REQUESTS, this.pendingReplies.size())
					.addKeyValue(LogFields.REASON, cause)
					.log("closed the connection to a daemon");
			}
			if (this.connectFuture != null) {
				this.connectFuture.channel().close();
			}
			List<PendingReply> lost = new ArrayList<>(this.pendingReplies.values());
			this.pendingReplies.clear();
			lost.forEach((pending) -> {
				pending.cancelTimer();
				String text = "peer " + this.address + ": " + cause;
				if (this.refused) {
					pending.listener.onRefused(text);
				}
				else {
					pending.listener.onFailure(text);
				}
			});
		}

	}

	private final class PendingReply {

		private final Link link;

		private final long correlation;

		private final ReplyListener listener;

		private boolean answered;

		private @Nullable Future<?> timer;

		PendingReply(Link link, long correlation, ReplyListener listener) {
			this.link = link;
			this.correlation = correlation;
			this.listener = listener;
		}

		void startTimer(long timeoutMs) {
			this.timer = PeerLinks.this.loop.schedule(() -> onTimeout(timeoutMs), timeoutMs, TimeUnit.MILLISECONDS);
		}

		void cancelTimer() {
			if (this.timer != null) {
				this.timer.cancel(false);
			}
		}

		void onTimeout(long timeoutMs) {
			if (this.link.pendingReplies.remove(this.correlation) == null) {
				return;
			}
			long silenceNanos = PeerLinks.this.nanoClock.getAsLong() - this.link.lastReadNanos;
			// A second reply may wait for the store.
			if (!this.answered && silenceNanos > TimeUnit.MILLISECONDS.toNanos(MAX_SILENCE_MS)) {
				this.link.close("silent");
			}
			else if (!this.answered && this.listener.acceptsLateReply()) {
				this.link.awaitLateReply(this.correlation, this.listener);
			}
			this.listener.onFailure("peer " + this.link.address + " did not reply within " + timeoutMs + " ms");
		}

	}

}

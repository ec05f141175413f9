package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
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

/**
 * Connections to other daemons, one for each address. A connection on which a reply is
 * overdue and nothing else arrives is replaced. All methods run on the event loop.
 */
public final class PeerLinks {

	private static final Logger logger = LoggerFactory.getLogger(PeerLinks.class);

	/** Time for a connection in milliseconds; VMs are about a millisecond apart. */
	private static final int CONNECT_TIMEOUT_MS = 500;

	/** Silence in milliseconds, with a reply overdue, that ends a connection. */
	private static final long SILENCE_MS = 600;

	private final EventLoop loop;

	private final String self;

	private final LongSupplier nanoClock;

	private final Map<String, Link> links = new HashMap<>();

	private long correlation;

	/**
	 * Creates links that are opened when they are needed.
	 * @param loop event loop
	 * @param self name of this daemon
	 * @param nanoClock time in nanoseconds since some beginning
	 */
	public PeerLinks(EventLoop loop, String self, LongSupplier nanoClock) {
		this.loop = loop;
		this.self = self;
		this.nanoClock = nanoClock;
	}

	/**
	 * Sends a request.
	 * @param address the daemon's IP number and port
	 * @param message the request
	 * @param timeoutMs time for the first reply in milliseconds
	 * @param listener receives replies or a failure
	 */
	public void request(String address, PeerMessage message, long timeoutMs, ReplyListener listener) {
		Link link = link(address);
		long id = ++this.correlation;
		Pending pending = new Pending(link, id, listener);
		link.open.put(id, pending);
		pending.startTimer(timeoutMs);
		link.send(id, message);
	}

	/**
	 * Sends a message that is not answered.
	 * @param address the daemon's IP number and port
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

		private final Map<Long, Pending> open = new HashMap<>();

		private final @Nullable ChannelFuture connecting;

		private long lastReadNanos = PeerLinks.this.nanoClock.getAsLong();

		Link(String address) {
			this.address = address;
			InetSocketAddress target = HttpConnections.parseAddress(address);
			this.connecting = (target != null) ? connect(target) : null;
			if (this.connecting != null) {
				this.connecting.addListener((done) -> {
					if (!done.isSuccess()) {
						drop("can't connect: " + done.cause());
					}
				});
				send(0, new PeerMessage.Hello(PeerLinks.this.self));
			}
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

		void send(long id, PeerMessage message) {
			if (this.connecting == null) {
				PeerLinks.this.loop.execute(() -> drop("'" + this.address + "' is not ip:port"));
				return;
			}
			Channel channel = this.connecting.channel();
			if (this.connecting.isDone()) {
				if (channel.isActive()) {
					PeerFrames.write(channel, id, message);
				}
				return;
			}
			this.connecting.addListener((done) -> {
				if (done.isSuccess()) {
					PeerFrames.write(channel, id, message);
				}
			});
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
			this.lastReadNanos = PeerLinks.this.nanoClock.getAsLong();
			PeerCodec.Frame decoded = PeerCodec.decode(PeerFrames.readBytes(frame));
			Pending pending = this.open.get(decoded.correlation());
			if (pending == null) {
				return;
			}
			pending.cancelTimer();
			if (decoded.message().isLastReply()) {
				this.open.remove(decoded.correlation());
			}
			else if (decoded.message().nextReplyTimeoutMs() > 0) {
				pending.startTimer(decoded.message().nextReplyTimeoutMs());
			}
			pending.listener.onReply(decoded.message());
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			drop("connection was lost");
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			drop(String.valueOf(cause));
		}

		void drop(String cause) {
			if (PeerLinks.this.links.remove(this.address, this)) {
				logger.atInfo()
					.addKeyValue(LogFields.PEER, this.address)
					.addKeyValue(LogFields.REQUESTS, this.open.size())
					.addKeyValue(LogFields.REASON, cause)
					.log("connection to a daemon is closed");
			}
			if (this.connecting != null) {
				this.connecting.channel().close();
			}
			List<Pending> lost = new ArrayList<>(this.open.values());
			this.open.clear();
			lost.forEach((pending) -> {
				pending.cancelTimer();
				pending.listener.onFailure("peer " + this.address + ": " + cause);
			});
		}

	}

	private final class Pending {

		private final Link link;

		private final long id;

		private final ReplyListener listener;

		private @Nullable Future<?> timer;

		Pending(Link link, long id, ReplyListener listener) {
			this.link = link;
			this.id = id;
			this.listener = listener;
		}

		void startTimer(long timeoutMs) {
			this.timer = PeerLinks.this.loop.schedule(() -> timedOut(timeoutMs), timeoutMs, TimeUnit.MILLISECONDS);
		}

		void cancelTimer() {
			if (this.timer != null) {
				this.timer.cancel(false);
			}
		}

		void timedOut(long timeoutMs) {
			if (this.link.open.remove(this.id) == null) {
				return;
			}
			long silence = PeerLinks.this.nanoClock.getAsLong() - this.link.lastReadNanos;
			if (silence > TimeUnit.MILLISECONDS.toNanos(SILENCE_MS)) {
				this.link.drop("silent");
			}
			this.listener.onFailure("peer " + this.link.address + " did not reply within " + timeoutMs + " ms");
		}

	}

}

package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.limit.ClientMemory;
import org.hemlockgw.core.limit.CloseCause;
import org.hemlockgw.core.limit.ConnectionGroup;
import org.hemlockgw.core.limit.MemoryBudget;
import org.hemlockgw.gateway.telemetry.MemoryExhaustion;

/**
 * Accepts connections from other daemons.
 */
public final class PeerListener {

	private static final Logger logger = LoggerFactory.getLogger(PeerListener.class);

	/**
	 * Maximum number of connections. Each other daemon opens one; the target size is 350
	 * daemons, twice of which may be connected while they are replaced.
	 */
	private static final int MAX_CONNECTIONS = 1000;

	/** Maximum number of connections whose peer has not introduced itself. */
	private static final int MAX_UNKNOWN = 64;

	/** Maximum number of bytes before a peer has introduced itself. */
	private static final int MAX_UNKNOWN_BYTES = 1024;

	/** Size in bytes of a partial frame above which its memory is counted. */
	private static final int COUNTED_FRAME_BYTES = 16 * 1024;

	/**
	 * Size in bytes of unread replies above which a connection is closed. A reply takes
	 * less than 1 MiB.
	 */
	private static final long MAX_UNREAD_BYTES = 8 * 1024 * 1024;

	private PeerListener() {
	}

	/**
	 * Binds the server socket.
	 * @param address address of this daemon as IP and port
	 * @param loop event loop
	 * @param budget memory that is held for clients
	 * @param service handles the messages
	 * @return the server channel
	 */
	public static Channel start(InetSocketAddress address, EventLoop loop, MemoryBudget budget, PeerService service) {
		ConnectionGroup unknown = new ConnectionGroup(MAX_UNKNOWN);
		ConnectionGroup known = new ConnectionGroup(MAX_CONNECTIONS);
		budget.add(unknown);
		budget.add(known);
		return new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					Connection connection = new Connection(service, channel, budget, known);
					ClientMemory memory = budget.open(unknown, connection);
					if (memory == null) {
						channel.close();
						return;
					}
					connection.memory = memory;
					channel.pipeline().addLast(connection.byteObserver());
					PeerFrames.addDecoder(channel.pipeline());
					channel.pipeline().addLast(connection);
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private static final class Connection extends SimpleChannelInboundHandler<ByteBuf> implements ClientMemory.Owner {

		private final PeerService service;

		private final Channel channel;

		private final MemoryBudget budget;

		private final ConnectionGroup known;

		private @Nullable ClientMemory memory;

		private long partialBytes;

		private String sender = "";

		Connection(PeerService service, Channel channel, MemoryBudget budget, ConnectionGroup known) {
			this.service = service;
			this.channel = channel;
			this.budget = budget;
			this.known = known;
		}

		/**
		 * Returns a handler before the decoder, which counts the bytes of the frame that
		 * is incomplete.
		 * @return the handler
		 */
		ChannelInboundHandlerAdapter byteObserver() {
			return new ChannelInboundHandlerAdapter() {
				@Override
				public void channelRead(ChannelHandlerContext ctx, Object msg) {
					int bytes = ((ByteBuf) msg).readableBytes();
					Connection.this.partialBytes += bytes;
					if (Connection.this.memory != null) {
						Connection.this.budget.recordReceived(Connection.this.memory, bytes);
					}
					ctx.fireChannelRead(msg);
					if (!mayHoldPartial()) {
						ctx.close();
					}
				}
			};
		}

		private boolean mayHoldPartial() {
			ClientMemory current = this.memory;
			if (current == null) {
				return false;
			}
			if (this.sender.isEmpty()) {
				if (current.phase() == ClientMemory.Phase.NEW) {
					this.budget.enter(current, ClientMemory.Phase.HEAD);
				}
				return this.partialBytes <= MAX_UNKNOWN_BYTES;
			}
			this.budget.release(current, Long.MAX_VALUE);
			if (this.partialBytes <= COUNTED_FRAME_BYTES) {
				if (current.phase() != ClientMemory.Phase.IDLE) {
					this.budget.enter(current, ClientMemory.Phase.IDLE);
				}
				return true;
			}
			if (current.phase() != ClientMemory.Phase.BODY) {
				this.budget.enter(current, ClientMemory.Phase.BODY);
			}
			return this.budget.reserve(current, this.partialBytes);
		}

		private void accept(String member) {
			if (!this.sender.isEmpty()) {
				return;
			}
			this.sender = member;
			if (this.memory != null) {
				this.budget.remove(this.memory);
			}
			this.memory = this.budget.open(this.known, this);
			if (this.memory != null) {
				this.budget.enter(this.memory, ClientMemory.Phase.IDLE);
			}
		}

		@Override
		public void close(CloseCause cause) {
			logger.info("closing the connection from peer '{}': {}", this.sender, cause.label());
			this.channel.close();
		}

		@Override
		public void largeBodyDecided(boolean granted) {
			throw new IllegalStateException("frames do not wait for memory");
		}

		@Override
		public long unsentBytes() {
			ChannelOutboundBuffer buffer = this.channel.unsafe().outboundBuffer();
			return (buffer != null) ? buffer.totalPendingWriteBytes() : 0;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
			this.partialBytes = 0;
			PeerCodec.Frame decoded = PeerCodec.decode(PeerFrames.readBytes(frame));
			if (decoded.message() instanceof PeerMessage.Hello hello) {
				accept(hello.member());
				return;
			}
			if (this.sender.isEmpty()) {
				ctx.close();
				return;
			}
			this.service.handle(this.sender, decoded.message(), (reply) -> {
				if (unsentBytes() > MAX_UNREAD_BYTES) {
					logger.info("closing the connection from peer '{}': it does not read replies", this.sender);
					ctx.close();
				}
				if (ctx.channel().isActive()) {
					PeerFrames.write(ctx.channel(), decoded.correlation(), reply);
				}
			});
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (this.memory != null) {
				this.budget.remove(this.memory);
			}
			if (!this.sender.isEmpty()) {
				this.service.connectionLost(this.sender);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			MemoryExhaustion.exitIfCause(cause);
			logger.info("closing the connection from peer {}: {}", this.sender, cause);
			ctx.close();
		}

	}

}

package org.hemlockgw.gateway.peer;

import java.io.IOException;
import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections from other daemons.
 */
public final class PeerListener {

	private static final Logger logger = LoggerFactory.getLogger(PeerListener.class);

	private PeerListener() {
	}

	/**
	 * Binds the server socket.
	 * @param address address of this daemon as IP and port
	 * @param loop event loop
	 * @param service handles the messages
	 * @return the server channel
	 */
	public static Channel start(InetSocketAddress address, EventLoop loop, PeerService service) {
		return new ServerBootstrap().group(loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					PeerFrames.addDecoder(channel.pipeline());
					channel.pipeline().addLast(new Connection(service));
				}
			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private static final class Connection extends SimpleChannelInboundHandler<ByteBuf> {

		private final PeerService service;

		private String sender = "";

		Connection(PeerService service) {
			this.service = service;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws IOException {
			PeerCodec.Frame decoded = PeerCodec.decode(PeerFrames.readBytes(frame));
			if (decoded.message() instanceof PeerMessage.Hello hello) {
				this.sender = hello.member();
				return;
			}
			this.service.handle(this.sender, decoded.message(), (reply) -> {
				if (ctx.channel().isActive()) {
					PeerFrames.write(ctx.channel(), decoded.correlation(), reply);
				}
			});
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			if (!this.sender.isEmpty()) {
				this.service.connectionLost(this.sender);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			logger.info("closing the connection from peer {}: {}", this.sender, cause);
			ctx.close();
		}

	}

}

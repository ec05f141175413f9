package org.hemlockgw.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * Accepts connections of other daemons and serves their requests.
 */
public final class PeerServer implements AutoCloseable {

	private static final int MAX_UNREAD_BYTES = 2 * FramePipeline.MAX_FRAME_BYTES;

	private final Channel listener;

	private final ChannelGroup connections;

	private final AtomicInteger openRequests;

	private PeerServer(Channel listener, ChannelGroup connections, AtomicInteger openRequests) {
		this.listener = listener;
		this.connections = connections;
		this.openRequests = openRequests;
	}

	/**
	 * Starts to listen.
	 * @param address where to listen; port 0 lets the system choose
	 * @param group event loops, not closed with the server
	 * @param executor runs the local implementations
	 * @param self this daemon
	 * @param services the local implementations
	 * @param timings time limits
	 * @return the listening server
	 */
	public static PeerServer start(InetSocketAddress address, EventLoopGroup group, Executor executor, LocalPeer self,
			LocalServices services, PeerTimings timings) {
		ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
		AtomicInteger openRequests = new AtomicInteger();
		RequestHandler handler = new RequestHandler(self, services);
		FramePipeline pipeline = new FramePipeline(
				() -> new ServerConnection(self, handler, executor, timings, connections, openRequests),
				FramePipeline.MAX_FRAME_BYTES);
		Channel listener = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK,
					new WriteBufferWaterMark(MAX_UNREAD_BYTES / 2, MAX_UNREAD_BYTES))
			.childHandler(pipeline)
			.bind(address)
			.syncUninterruptibly()
			.channel();
		return new PeerServer(listener, connections, openRequests);
	}

	/**
	 * Returns where the server listens.
	 * @return the address with the real port
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/**
	 * Returns how many requests of connected peers have no answer yet.
	 * @return the number of open requests
	 */
	public int openRequests() {
		return this.openRequests.get();
	}

	@Override
	public void close() {
		this.listener.close().syncUninterruptibly();
		this.connections.close().syncUninterruptibly();
	}

}

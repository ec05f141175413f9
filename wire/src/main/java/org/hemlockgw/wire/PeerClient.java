package org.hemlockgw.wire;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.generated.peer.FetchConfiguration;
import org.hemlockgw.generated.peer.Request;
import org.hemlockgw.generated.peer.Response;

/**
 * Sends requests to other daemons over one connection for each address. A connection that
 * goes silent is replaced for new requests before its open requests fail.
 */
public final class PeerClient implements AutoCloseable {

	private final EventLoopGroup group;

	private final Executor executor;

	private final LocalPeer self;

	private final PeerTimings timings;

	private final Map<String, Link> links = new ConcurrentHashMap<>();

	/**
	 * Creates a client without connections.
	 * @param group event loops, not closed with the client
	 * @param executor delivers events and results
	 * @param self this daemon
	 * @param timings time limits
	 */
	public PeerClient(EventLoopGroup group, Executor executor, LocalPeer self, PeerTimings timings) {
		this.group = group;
		this.executor = executor;
		this.self = self;
		this.timings = timings;
	}

	/**
	 * Fetches the configuration document from a peer.
	 * @param address the peer's IP number and port
	 * @return the document; fails with {@code OWNER_UNAVAILABLE} when the peer can't be
	 * reached
	 */
	public CompletableFuture<byte[]> fetchConfiguration(String address) {
		Request request = Request.newBuilder().setFetchConfiguration(FetchConfiguration.getDefaultInstance()).build();
		return send(address, request, ErrorCode.OWNER_UNAVAILABLE, (event) -> {
		}).thenApply((response) -> response.getConfiguration().getDocument().toByteArray());
	}

	CompletableFuture<Response> send(String address, Request request, ErrorCode unavailable, EventSink sink) {
		int size = request.getSerializedSize();
		// The rest of a frame takes less than 1 KiB.
		if (size > FramePipeline.MAX_FRAME_BYTES - 1024) {
			return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.LIMIT_REACHED,
					"request of " + size + " bytes; at most " + FramePipeline.MAX_FRAME_BYTES + " are allowed"));
		}
		PendingRequest pending = new PendingRequest(request, unavailable, sink, this.executor);
		try {
			link(address).send(pending);
		}
		catch (IllegalArgumentException ex) {
			// The address comes from the VM list, which is an outside system.
			pending.disconnected(false, "can't connect to '" + address + "': " + ex.getMessage());
		}
		return pending.result();
	}

	private Link link(String address) {
		Link current = this.links.get(address);
		if (current != null && current.connection.usable()) {
			return current;
		}
		return this.links.compute(address,
				(key, old) -> (old != null && old.connection.usable()) ? old : new Link(address));
	}

	@Override
	public void close() {
		this.links.values().forEach(Link::close);
	}

	private static InetSocketAddress parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("address must be ip:port, was '" + address + "'");
		}
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	/**
	 * A connection and the attempt to open it.
	 */
	private final class Link {

		private final ClientConnection connection;

		private final ChannelFuture connecting;

		private final String address;

		Link(String address) {
			this.address = address;
			this.connection = new ClientConnection(address, PeerClient.this.self, PeerClient.this.timings);
			FramePipeline pipeline = new FramePipeline(() -> this.connection, FramePipeline.MAX_FRAME_BYTES);
			this.connecting = new Bootstrap().group(PeerClient.this.group)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PeerClient.this.timings.connectTimeout().toMillis())
				.handler(pipeline)
				.connect(parse(address));
		}

		void send(PendingRequest pending) {
			this.connecting.addListener((done) -> {
				if (!done.isSuccess()) {
					this.connection.retire();
					pending.disconnected(false, "can't connect to " + this.address + ": " + done.cause());
					return;
				}
				Channel channel = this.connecting.channel();
				channel.eventLoop().execute(() -> sendOnLoop(channel, pending));
			});
		}

		private void sendOnLoop(Channel channel, PendingRequest pending) {
			@Nullable ChannelHandlerContext context = channel.pipeline().context(this.connection);
			if (context == null) {
				pending.disconnected(false, "connection to " + this.address + " is closed");
				return;
			}
			this.connection.send(context, pending);
		}

		void close() {
			this.connection.retire();
			this.connecting.addListener((done) -> this.connecting.channel().close());
		}

	}

}

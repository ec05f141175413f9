package org.hemlockgw.gateway.net;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Kept connections by address. All methods run on the event loop.
 */
public final class HttpConnections {

	private static final Logger logger = LoggerFactory.getLogger(HttpConnections.class);

	/**
	 * Idle time in milliseconds after which a connection is not trusted, if its server
	 * names none.
	 */
	private static final long DEFAULT_KEEP_ALIVE_MS = 4000;

	/**
	 * A connection is given up this long before its server would close it, in
	 * milliseconds.
	 */
	private static final long KEEP_ALIVE_MARGIN_MS = 700;

	private final EventLoop loop;

	private final int connectTimeoutMs;

	private final LongSupplier nanoClock;

	private final Map<String, Deque<HttpClientConnection>> idle = new HashMap<>();

	private long opened;

	/**
	 * Creates an empty pool.
	 * @param loop event loop
	 * @param connectTimeoutMs time for a connection in milliseconds
	 * @param nanoClock time in nanoseconds since some beginning
	 */
	public HttpConnections(EventLoop loop, int connectTimeoutMs, LongSupplier nanoClock) {
		this.loop = loop;
		this.nanoClock = nanoClock;
		this.connectTimeoutMs = connectTimeoutMs;
		loop.scheduleAtFixedRate(this::closeExpired, 1, 1, TimeUnit.SECONDS);
	}

	/**
	 * Sends a request.
	 * @param address the server's IP number and port
	 * @param head method, path and headers
	 * @param body body; released by this method
	 * @param listener receives the answer
	 * @return handle of the request
	 */
	public HttpCall send(String address, HttpRequest head, ByteBuf body, HttpResponseListener listener) {
		HttpCall call = new HttpCall();
		HttpClientConnection kept = takeIdle(address);
		if (kept != null) {
			kept.send(head, body, call, listener);
			return call;
		}
		InetSocketAddress target = parseAddress(address);
		if (target == null) {
			body.release();
			this.loop.execute(() -> listener.failed(false, "'" + address + "' is not ip:port"));
			return call;
		}
		this.opened++;
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMs)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpRequestEncoder(), new HttpResponseDecoder(),
								new HttpClientConnection(HttpConnections.this, address, channel));
				}
			})
			.connect(target)
			.addListener((ChannelFuture done) -> connected(done.channel(), done.cause(), head, body, call, listener));
		return call;
	}

	private void connected(Channel channel, @Nullable Throwable cause, HttpRequest head, ByteBuf body, HttpCall call,
			HttpResponseListener listener) {
		if (call.hasEnded()) {
			body.release();
			channel.close();
			return;
		}
		HttpClientConnection handler = (cause != null) ? null : channel.pipeline().get(HttpClientConnection.class);
		if (handler == null) {
			body.release();
			call.markEnded();
			listener.failed(false, "can't connect: " + cause);
			return;
		}
		handler.send(head, body, call, listener);
	}

	private @Nullable HttpClientConnection takeIdle(String address) {
		Deque<HttpClientConnection> kept = this.idle.get(address);
		long now = nanoTime();
		while (kept != null && !kept.isEmpty()) {
			HttpClientConnection handler = kept.pollLast();
			if (handler.isUsable(now)) {
				return handler;
			}
			handler.close();
		}
		return null;
	}

	void addIdle(String address, HttpClientConnection handler) {
		this.idle.computeIfAbsent(address, (key) -> new ArrayDeque<>()).addLast(handler);
	}

	void removeIdle(String address, HttpClientConnection handler) {
		Deque<HttpClientConnection> kept = this.idle.get(address);
		if (kept != null) {
			kept.remove(handler);
		}
	}

	/**
	 * Closes the idle connections to a server that have not been used since some time.
	 * @param address the server's IP number and port
	 * @param nanos the time
	 */
	void closeIdleSince(String address, long nanos) {
		Deque<HttpClientConnection> kept = this.idle.getOrDefault(address, new ArrayDeque<>());
		List<HttpClientConnection> suspects = kept.stream().filter((handler) -> handler.isIdleSince(nanos)).toList();
		kept.removeAll(suspects);
		suspects.forEach(HttpClientConnection::close);
		if (!suspects.isEmpty()) {
			logger.info("{} did not answer; closing {} idle connections", address, suspects.size());
		}
	}

	long nanoTime() {
		return this.nanoClock.getAsLong();
	}

	private void closeExpired() {
		long now = nanoTime();
		this.idle.values().forEach((kept) -> {
			while (!kept.isEmpty() && !kept.getFirst().isUsable(now)) {
				kept.removeFirst().close();
			}
		});
		this.idle.values().removeIf(Deque::isEmpty);
	}

	public long openedCount() {
		return this.opened;
	}

	static long parseKeepAliveMs(@Nullable String header) {
		if (header == null) {
			return DEFAULT_KEEP_ALIVE_MS;
		}
		int at = header.indexOf("timeout=");
		int end = at + "timeout=".length();
		long seconds = 0;
		while (at >= 0 && end < header.length() && Character.isDigit(header.charAt(end)) && seconds < 100_000) {
			seconds = 10 * seconds + (header.charAt(end++) - '0');
		}
		return (seconds == 0) ? DEFAULT_KEEP_ALIVE_MS : Math.max(0, seconds * 1000 - KEEP_ALIVE_MARGIN_MS);
	}

	/**
	 * Parses an address.
	 * @param address the server's IP number and port
	 * @return the address, or null if it is malformed
	 */
	public static @Nullable InetSocketAddress parseAddress(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			return null;
		}
		try {
			return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
		}
		catch (IllegalArgumentException ex) {
			return null;
		}
	}

}

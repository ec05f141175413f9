package org.hemlockgw.gateway.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.regex.Pattern;

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
import io.netty.util.NetUtil;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Pool of keep-alive connections by server address. All methods must be called on the
 * event loop.
 */
public final class HttpConnections {

	private static final Logger logger = LoggerFactory.getLogger(HttpConnections.class);

	/**
	 * Idle time in milliseconds after which a connection is not reused, if the server
	 * specifies none.
	 */
	static final long DEFAULT_KEEP_ALIVE_MS = 4000;

	/**
	 * Time in milliseconds by which a connection expires here before its server would
	 * close it.
	 */
	private static final long KEEP_ALIVE_MARGIN_MS = 700;

	/**
	 * Time in milliseconds for which a new connection must stay open to prove that its
	 * server is running. A network device before the server may accept connections in its
	 * place.
	 */
	private static final long PROBE_DURATION_MS = 100;

	private static final Pattern PORT_PATTERN = Pattern.compile("[1-9][0-9]{0,4}");

	private static final int MAX_PORT = 65_535;

	private final EventLoop loop;

	private final int connectTimeoutMs;

	private final LongSupplier nanoClock;

	private final Map<String, Deque<HttpClientConnection>> idleConnections = new HashMap<>();

	private final Map<String, List<Consumer<Boolean>>> pendingProbes = new HashMap<>();

	private long openedConnections;

	/**
	 * Creates an empty pool.
	 * @param loop event loop
	 * @param connectTimeoutMs timeout for connecting in milliseconds
	 * @param nanoClock monotonic clock in nanoseconds with an arbitrary origin
	 */
	public HttpConnections(EventLoop loop, int connectTimeoutMs, LongSupplier nanoClock) {
		this.loop = loop;
		this.nanoClock = nanoClock;
		this.connectTimeoutMs = connectTimeoutMs;
		loop.scheduleAtFixedRate(this::closeExpired, 1, 1, TimeUnit.SECONDS);
	}

	/**
	 * Sends a request.
	 * @param address the IP address and port of the server
	 * @param head method, path and headers
	 * @param body body; released by this method
	 * @param listener receives the response
	 * @return handle of the request
	 */
	public HttpCall send(String address, HttpRequest head, ByteBuf body, HttpResponseListener listener) {
		HttpCall call = new HttpCall();
		HttpClientConnection idle = pollIdle(address);
		if (idle != null) {
			idle.send(head, body, call, listener);
			return call;
		}
		InetSocketAddress target = parseAddress(address);
		if (target == null) {
			body.release();
			this.loop.execute(() -> listener.failed(false, "'" + address + "' is not ip:port"));
			return call;
		}
		connect(address, target).addListener(
				(ChannelFuture connect) -> onConnected(connect.channel(), connect.cause(), head, body, call, listener));
		return call;
	}

	private ChannelFuture connect(String address, InetSocketAddress target) {
		this.openedConnections++;
		return new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMs)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					ResponseDecoder decoder = new ResponseDecoder();
					channel.pipeline()
						.addLast(new HttpRequestEncoder(), decoder,
								new HttpClientConnection(HttpConnections.this, address, channel, decoder));
				}
			})
			.connect(target);
	}

	/**
	 * Determines whether a server is running. If no idle connection shows it, a new one
	 * is opened, which is then available for requests.
	 * @param address the IP address and port of the server
	 * @param listener receives whether the server accepts connections
	 */
	public void probe(String address, Consumer<Boolean> listener) {
		if (hasIdle(address)) {
			listener.accept(true);
			return;
		}
		InetSocketAddress target = parseAddress(address);
		if (target == null) {
			listener.accept(false);
			return;
		}
		List<Consumer<Boolean>> listeners = this.pendingProbes.computeIfAbsent(address, (key) -> new ArrayList<>());
		listeners.add(listener);
		if (listeners.size() > 1) {
			return;
		}
		connect(address, target).addListener((ChannelFuture connect) -> {
			HttpClientConnection connection = connect.channel().pipeline().get(HttpClientConnection.class);
			if (!connect.isSuccess() || connection == null) {
				endProbe(address, false);
				return;
			}
			this.loop.schedule(() -> endProbe(address, connection.offerForReuse()), PROBE_DURATION_MS,
					TimeUnit.MILLISECONDS);
		});
	}

	private void endProbe(String address, boolean running) {
		List<Consumer<Boolean>> listeners = this.pendingProbes.remove(address);
		if (listeners != null) {
			listeners.forEach((listener) -> listener.accept(running));
		}
	}

	private void onConnected(Channel channel, @Nullable Throwable cause, HttpRequest head, ByteBuf body, HttpCall call,
			HttpResponseListener listener) {
		if (call.hasEnded()) {
			body.release();
			channel.close();
			return;
		}
		HttpClientConnection connection = (cause != null) ? null : channel.pipeline().get(HttpClientConnection.class);
		if (connection == null) {
			body.release();
			call.markEnded();
			listener.failed(false, "can't connect: " + cause);
			return;
		}
		connection.send(head, body, call, listener);
	}

	private @Nullable HttpClientConnection pollIdle(String address) {
		Deque<HttpClientConnection> connections = this.idleConnections.get(address);
		long now = nanoTime();
		while (connections != null && !connections.isEmpty()) {
			HttpClientConnection connection = connections.pollLast();
			if (connection.isUsable(now)) {
				return connection;
			}
			connection.close();
		}
		return null;
	}

	/**
	 * Returns whether a request can be sent without opening a connection.
	 * @param address the IP address and port of the server
	 * @return whether an idle connection is usable
	 */
	public boolean hasIdle(String address) {
		Deque<HttpClientConnection> connections = this.idleConnections.get(address);
		return connections != null && !connections.isEmpty() && connections.getLast().isUsable(nanoTime());
	}

	void addIdle(String address, HttpClientConnection connection) {
		this.idleConnections.computeIfAbsent(address, (key) -> new ArrayDeque<>()).addLast(connection);
	}

	void removeIdle(String address, HttpClientConnection connection) {
		Deque<HttpClientConnection> connections = this.idleConnections.get(address);
		if (connections != null) {
			connections.remove(connection);
		}
	}

	/**
	 * Closes the idle connections to a server that have not been used since a given time.
	 * @param address the IP address and port of the server
	 * @param nanos the time, by the clock of this pool
	 */
	void closeIdleSince(String address, long nanos) {
		Deque<HttpClientConnection> connections = this.idleConnections.getOrDefault(address, new ArrayDeque<>());
		List<HttpClientConnection> unused = connections.stream()
			.filter((connection) -> connection.isIdleSince(nanos))
			.toList();
		connections.removeAll(unused);
		unused.forEach(HttpClientConnection::close);
		if (!unused.isEmpty()) {
			logger.info("{} did not respond; closing {} idle connections", address, unused.size());
		}
	}

	long nanoTime() {
		return this.nanoClock.getAsLong();
	}

	private void closeExpired() {
		long now = nanoTime();
		this.idleConnections.values().forEach((connections) -> {
			while (!connections.isEmpty() && !connections.getFirst().isUsable(now)) {
				connections.removeFirst().close();
			}
		});
		this.idleConnections.values().removeIf(Deque::isEmpty);
	}

	/**
	 * Returns the number of connections opened since the start.
	 * @return number of connections, including failed attempts
	 */
	public long openedCount() {
		return this.openedConnections;
	}

	/**
	 * Determines how long an idle connection may be reused.
	 * @param header value of the Keep-Alive header; null if it is missing
	 * @return idle time in milliseconds
	 */
	static long parseKeepAliveMs(@Nullable String header) {
		if (header == null) {
			return DEFAULT_KEEP_ALIVE_MS;
		}
		int timeoutIndex = header.indexOf("timeout=");
		int position = timeoutIndex + "timeout=".length();
		long seconds = 0;
		while (timeoutIndex >= 0 && position < header.length() && Character.isDigit(header.charAt(position))
				&& seconds < 100_000) {
			seconds = 10 * seconds + (header.charAt(position++) - '0');
		}
		return (seconds == 0) ? DEFAULT_KEEP_ALIVE_MS : Math.max(0, seconds * 1000 - KEEP_ALIVE_MARGIN_MS);
	}

	/**
	 * Parses an address. Host names are not accepted, because resolving them would block
	 * the event loop.
	 * @param address the IP address and port, separated by a colon
	 * @return the address, or null if it is malformed
	 */
	public static @Nullable InetSocketAddress parseAddress(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0 || !PORT_PATTERN.matcher(address.substring(colon + 1)).matches()) {
			return null;
		}
		InetAddress host = NetUtil.createInetAddressFromIpAddressString(address.substring(0, colon));
		int port = Integer.parseInt(address.substring(colon + 1));
		return (host != null && port <= MAX_PORT) ? new InetSocketAddress(host, port) : null;
	}

}

package org.hemlockgw.remote;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnectionFactory;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * Connections to one server. It opens them itself, because only that tells a connection
 * that was never opened from one that broke.
 */
final class HttpConnections {

	/** One-way latency within a region is about 1 ms, between regions tens of ms. */
	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int MAX_IDLE_CONNECTIONS = 8;

	/**
	 * Below the idle limit of usual servers, so that a close by the server rarely meets a
	 * request.
	 */
	private static final long MAX_IDLE_NS = Duration.ofSeconds(30).toNanos();

	/** Without Expect: 100-continue, which would cost a round trip for each body. */
	private static final HttpProcessor PROCESSOR = HttpProcessorBuilder.create()
		.addAll(RequestContent.INSTANCE, RequestTargetHost.INSTANCE, RequestConnControl.INSTANCE)
		.build();

	private final InetSocketAddress peer;

	private final HttpRequester requester = RequesterBootstrap.bootstrap().setHttpProcessor(PROCESSOR).create();

	private final ConcurrentLinkedDeque<Idle> idle = new ConcurrentLinkedDeque<>();

	private final AtomicInteger idleCount = new AtomicInteger();

	HttpConnections(String address) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("address must be ip:port, was '" + address + "'");
		}
		try {
			this.peer = new InetSocketAddress(InetAddress.getByName(address.substring(0, colon)),
					Integer.parseInt(address.substring(colon + 1)));
		}
		catch (UnknownHostException | NumberFormatException ex) {
			throw new IllegalArgumentException("address must be ip:port, was '" + address + "'", ex);
		}
	}

	/**
	 * Sends a request and reads its response.
	 * @param <T> type of the result
	 * @param request the request
	 * @param use which connection to take
	 * @param readTimeout longest silence of the server
	 * @param abort closes the connection when the caller gives up
	 * @param reader reads the response to its end
	 * @return the result of the reader
	 * @throws IOException {@link NotSentException} when no connection could be opened
	 */
	<T> T execute(ClassicHttpRequest request, ConnectionUse use, Duration readTimeout, Abort abort,
			ResponseReader<T> reader) throws IOException {
		HttpClientConnection reused = (use != ConnectionUse.NEW) ? takeIdle() : null;
		if (reused == null) {
			return executeOn(open(readTimeout), request, readTimeout, abort, reader);
		}
		try {
			return executeOn(reused, request, readTimeout, abort, reader);
		}
		catch (SocketTimeoutException | StatusException ex) {
			throw ex;
		}
		catch (IOException ex) {
			if (use != ConnectionUse.REUSED_WITH_RETRY || abort.aborted()) {
				throw ex;
			}
			return executeOn(open(readTimeout), request, readTimeout, abort, reader);
		}
	}

	private <T> T executeOn(HttpClientConnection connection, ClassicHttpRequest request, Duration readTimeout,
			Abort abort, ResponseReader<T> reader) throws IOException {
		boolean keep = false;
		abort.watch(connection);
		try {
			connection.setSocketTimeout(Timeout.of(readTimeout));
			HttpCoreContext context = HttpCoreContext.create();
			ClassicHttpResponse response = this.requester.execute(connection, request, context);
			T result = reader.read(response);
			keep = this.requester.keepAlive(connection, request, response, context);
			return result;
		}
		catch (HttpException ex) {
			throw new IOException(ex);
		}
		finally {
			// An aborted connection may be closed at any moment, so it is not reused.
			if (abort.release() && keep) {
				putIdle(connection);
			}
			else {
				connection.close(CloseMode.IMMEDIATE);
			}
		}
	}

	private HttpClientConnection open(Duration limit) throws NotSentException {
		Socket socket = new Socket();
		try {
			socket.setTcpNoDelay(true);
			socket.connect(this.peer, (int) Math.max(1, Math.min(CONNECT_TIMEOUT_MS, limit.toMillis())));
			return DefaultBHttpClientConnectionFactory.builder().build().createConnection(socket);
		}
		catch (IOException ex) {
			closeQuietly(socket);
			throw new NotSentException("cannot connect to " + this.peer + ": " + ex.getMessage(), ex);
		}
	}

	private @Nullable HttpClientConnection takeIdle() {
		while (true) {
			Idle candidate = this.idle.pollFirst();
			if (candidate == null) {
				return null;
			}
			this.idleCount.decrementAndGet();
			HttpClientConnection connection = candidate.connection();
			if (System.nanoTime() - candidate.sinceNs() < MAX_IDLE_NS && usable(connection)) {
				return connection;
			}
			connection.close(CloseMode.IMMEDIATE);
		}
	}

	private void putIdle(HttpClientConnection connection) {
		if (this.idleCount.incrementAndGet() > MAX_IDLE_CONNECTIONS) {
			this.idleCount.decrementAndGet();
			connection.close(CloseMode.GRACEFUL);
			return;
		}
		this.idle.addFirst(new Idle(connection, System.nanoTime()));
	}

	private static boolean usable(HttpClientConnection connection) {
		try {
			return connection.isOpen() && !connection.isStale();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket was never connected, so nothing is lost.
		}
	}

	/**
	 * Reads a response to its end.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	interface ResponseReader<T> {

		T read(ClassicHttpResponse response) throws IOException;

	}

	private record Idle(HttpClientConnection connection, long sinceNs) {
	}

}

package org.hemlockgw.standins.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server of a stand-in. It can be stopped like a crashed process and started again
 * on the same port. A handler that throws {@link IOException} breaks its connection
 * without an answer.
 */
public final class StandinHttpServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private static final ExceptionListener IGNORE_BROKEN_CONNECTIONS = new ExceptionListener() {
		@Override
		public void onError(Exception ex) {
		}

		@Override
		public void onError(HttpConnection connection, Exception ex) {
		}
	};

	private final Handler handler;

	private final String host;

	private int port;

	private volatile @Nullable HttpServer server;

	private boolean closed;

	/**
	 * Creates a server that does not listen yet.
	 * @param address ip:port; port 0 is replaced by the system's choice
	 * @param handler answers each request on a thread of its own
	 */
	public StandinHttpServer(String address, Handler handler) {
		int colon = address.lastIndexOf(':');
		if (colon <= 0) {
			throw new IllegalArgumentException("address must be ip:port, was '" + address + "'");
		}
		this.host = address.substring(0, colon);
		this.port = Integer.parseInt(address.substring(colon + 1));
		this.handler = handler;
	}

	/** Starts to listen, also again after {@link #stop()}. */
	public synchronized void start() {
		if (this.closed || this.server != null) {
			return;
		}
		try {
			HttpServer created = ServerBootstrap.bootstrap()
				.setLocalAddress(InetAddress.getByName(this.host))
				.setListenerPort(this.port)
				.setSocketConfig(SocketConfig.custom()
					.setBacklogSize(BACKLOG)
					.setSoReuseAddress(true)
					.setTcpNoDelay(true)
					.build())
				.setServerSocketFactory(new ListenerSocket.Factory())
				.setRequestRouter((request, context) -> this::handle)
				.setExceptionListener(IGNORE_BROKEN_CONNECTIONS)
				.create();
			created.start();
			this.port = created.getLocalPort();
			this.server = created;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + this.host + ":" + this.port, ex);
		}
	}

	/** Breaks all connections and refuses new ones. */
	public synchronized void stop() {
		HttpServer running = this.server;
		this.server = null;
		if (running != null) {
			running.close(CloseMode.IMMEDIATE);
		}
	}

	public synchronized String address() {
		return this.host + ":" + this.port;
	}

	@Override
	public synchronized void close() {
		stop();
		this.closed = true;
	}

	private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		if (this.server == null) {
			// A connection accepted during stop() can outlive it.
			throw new IOException("the server is stopped");
		}
		Exchange exchange = new Exchange(request, response);
		try {
			this.handler.handle(exchange);
		}
		catch (HttpRejection ex) {
			exchange.respondError(ex.status(), String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * Answers requests.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Answers one request.
		 * @param exchange the request and its response
		 * @throws IOException to break the connection without an answer
		 */
		void handle(Exchange exchange) throws IOException;

	}

}

package org.hemlockgw.daemon.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;

/**
 * Listens for callers.
 */
public final class CallerServer implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Bounds how long an idle or stuck connection keeps its thread. */
	private static final int SOCKET_TIMEOUT_S = 60;

	private final HttpServer server;

	private final EntryHandler handler;

	private CallerServer(HttpServer server, EntryHandler handler) {
		this.server = server;
		this.handler = handler;
	}

	/**
	 * Starts to listen.
	 * @param address where to listen; port 0 lets the system choose
	 * @param context what the entry uses of its daemon
	 * @return the listening server
	 * @throws IOException if the address can't be used
	 */
	public static CallerServer start(InetSocketAddress address, EntryContext context) throws IOException {
		EntryHandler handler = new EntryHandler(context);
		HttpServer server = ServerBootstrap.bootstrap()
			.setLocalAddress(address.getAddress())
			.setListenerPort(address.getPort())
			.setSocketConfig(
					SocketConfig.custom().setSoTimeout(SOCKET_TIMEOUT_S, TimeUnit.SECONDS).setTcpNoDelay(true).build())
			.setExceptionListener(new ConnectionErrors())
			.setRequestRouter((request, http) -> handler)
			.create();
		server.start();
		return new CallerServer(server, handler);
	}

	/**
	 * Returns where the server listens.
	 * @return the address with the real port
	 */
	public InetSocketAddress address() {
		return new InetSocketAddress(this.server.getInetAddress(), this.server.getLocalPort());
	}

	/**
	 * Refuses new programs and closes connections after their next response.
	 */
	public void startDraining() {
		this.handler.startDraining();
	}

	/**
	 * Returns how many requests have no complete response yet.
	 * @return the number of open requests
	 */
	public int openRequests() {
		return this.handler.open();
	}

	/**
	 * Closes all connections. A graceful shutdown first waits until no request is open.
	 */
	@Override
	public void close() {
		this.server.close(CloseMode.IMMEDIATE);
	}

	/**
	 * Logs errors of connections. Callers that disconnect are ordinary.
	 */
	private static final class ConnectionErrors implements ExceptionListener {

		@Override
		public void onError(Exception ex) {
			logger.atFine().withCause(ex).log("caller connection failed");
		}

		@Override
		public void onError(HttpConnection connection, Exception ex) {
			if (!(ex instanceof ConnectionClosedException)) {
				onError(ex);
			}
		}

	}

}

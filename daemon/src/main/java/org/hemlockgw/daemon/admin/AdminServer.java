package org.hemlockgw.daemon.admin;

import java.io.IOException;
import java.net.InetAddress;

import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * The admin listener: readiness, metrics, status, configuration, explanations, traces and
 * drain.
 */
public final class AdminServer implements AutoCloseable {

	private static final Timeout IDLE_TIMEOUT = Timeout.ofSeconds(30);

	private final HttpServer server;

	private final String host;

	/**
	 * Creates a listener that is not started.
	 * @param address the address to listen on, as IP number and port; port 0 lets the
	 * system choose
	 * @param sources what the listener shows and triggers
	 * @throws IOException if the IP number is malformed
	 */
	public AdminServer(String address, AdminSources sources) throws IOException {
		int colon = address.lastIndexOf(':');
		this.host = address.substring(0, colon);
		AdminHandler handler = new AdminHandler(sources);
		this.server = ServerBootstrap.bootstrap()
			.setLocalAddress(InetAddress.getByName(this.host))
			.setListenerPort(Integer.parseInt(address.substring(colon + 1)))
			.setSocketConfig(SocketConfig.custom().setSoTimeout(IDLE_TIMEOUT).build())
			// The default router answers 421 to a Host header that it does not know.
			.setRequestRouter((request, context) -> handler)
			.create();
	}

	/**
	 * Starts to listen.
	 * @throws IOException if the address cannot be bound
	 */
	public void start() throws IOException {
		this.server.start();
	}

	/**
	 * Returns the address in use.
	 * @return the address as IP number and port, with the port that the system chose
	 */
	public String address() {
		return this.host + ":" + this.server.getLocalPort();
	}

	@Override
	public void close() {
		this.server.close(CloseMode.GRACEFUL);
	}

}

package org.hemlockgw.standins.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.google.common.flogger.FluentLogger;

/**
 * Forwards TCP connections to one target. Open connections can be made silent for good
 * while new ones work, or all connections can be cut.
 */
public final class Relay implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private final InetSocketAddress target;

	private final ServerSocket listener;

	private final Set<Link> links = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private volatile boolean refusing;

	/**
	 * Starts a relay on a loopback port chosen by the system.
	 * @param target the IP number and port to forward to
	 * @throws IOException if no port can be opened
	 */
	public Relay(String target) throws IOException {
		int colon = target.lastIndexOf(':');
		this.target = new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
		this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
		this.threads.execute(this::accept);
	}

	/**
	 * Returns the address to connect to.
	 * @return the IP number and port
	 */
	public String address() {
		return this.listener.getInetAddress().getHostAddress() + ":" + this.listener.getLocalPort();
	}

	/**
	 * Makes all open connections silent for good. Bytes are read and discarded, as by a
	 * middlebox that lost track of them; new connections work.
	 */
	public void silenceOpenConnections() {
		this.links.forEach((link) -> link.silent = true);
	}

	/** Closes all open connections. */
	public void cutOpenConnections() {
		this.links.forEach(Link::close);
	}

	/**
	 * Sets whether new connections are closed at once.
	 * @param value true to refuse
	 */
	public void refuseNewConnections(boolean value) {
		this.refusing = value;
	}

	public int openConnections() {
		return this.links.size();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				if (this.refusing) {
					socket.close();
					continue;
				}
				this.threads.execute(() -> connect(socket));
			}
			catch (IOException ex) {
				logger.atFine().log("listener closed: %s", ex.getMessage());
			}
		}
	}

	private void connect(Socket caller) {
		Socket server = new Socket();
		try {
			server.connect(this.target, CONNECT_TIMEOUT_MS);
			caller.setTcpNoDelay(true);
			server.setTcpNoDelay(true);
		}
		catch (IOException ex) {
			closeQuietly(caller);
			closeQuietly(server);
			return;
		}
		Link link = new Link(caller, server);
		this.links.add(link);
		this.threads.execute(() -> copy(link, caller, server));
		copy(link, server, caller);
	}

	private void copy(Link link, Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
				if (!link.silent) {
					out.write(buffer, 0, n);
					out.flush();
				}
			}
		}
		catch (IOException ex) {
			logger.atFine().log("connection ended: %s", ex.getMessage());
		}
		// A silent link hides the end of one side from the other.
		if (!link.silent) {
			link.close();
			this.links.remove(link);
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		this.links.forEach(Link::close);
		this.threads.shutdownNow();
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			logger.atFine().log("close failed: %s", ex.getMessage());
		}
	}

	private static final class Link {

		private final Socket caller;

		private final Socket server;

		private volatile boolean silent;

		Link(Socket caller, Socket server) {
			this.caller = caller;
			this.server = server;
		}

		void close() {
			closeQuietly(this.caller);
			closeQuietly(this.server);
		}

	}

}

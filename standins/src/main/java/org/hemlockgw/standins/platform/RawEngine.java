package org.hemlockgw.standins.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stand-in of an engine whose answers are written byte by byte, one thread for each
 * connection.
 */
public final class RawEngine implements AutoCloseable {

	private static final Logger logger = LoggerFactory.getLogger(RawEngine.class);

	private final Script script;

	private final int port;

	private volatile ServerSocket socket;

	private volatile boolean closed;

	private final String greeting;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	public RawEngine(Script script) throws IOException {
		this(script, "");
	}

	/**
	 * Creates an engine.
	 * @param script answers the requests
	 * @param greeting bytes with which each connection begins
	 */
	public RawEngine(Script script, String greeting) throws IOException {
		this.script = script;
		this.greeting = greeting;
		this.socket = listen(0);
		this.port = this.socket.getLocalPort();
		start(this::accept);
	}

	private static ServerSocket listen(int port) throws IOException {
		ServerSocket listening = new ServerSocket();
		listening.setReuseAddress(true);
		listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
		return listening;
	}

	public String address() {
		return "127.0.0.1:" + this.port;
	}

	public boolean isClosed() {
		return this.closed;
	}

	/**
	 * Ends the engine as the end of its process does: it accepts no connections and all
	 * open ones are closed.
	 * @param downTime time until it is started again at its address
	 */
	public synchronized void crash(Duration downTime) throws IOException {
		if (this.socket.isClosed()) {
			return;
		}
		this.socket.close();
		for (Socket connection : this.open) {
			connection.close();
		}
		start(() -> restart(downTime));
	}

	private void restart(Duration delay) {
		try {
			TimeUnit.NANOSECONDS.sleep(delay.toNanos());
			synchronized (this) {
				if (this.closed) {
					return;
				}
				this.socket = listen(this.port);
			}
			accept();
		}
		catch (IOException | InterruptedException ex) {
			logger.warn("engine was not started again", ex);
		}
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "raw-engine");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		ServerSocket listening = this.socket;
		while (!listening.isClosed()) {
			try {
				Socket accepted = listening.accept();
				accepted.setTcpNoDelay(true);
				this.open.add(accepted);
				start(() -> serve(accepted));
			}
			catch (IOException ex) {
				logger.debug("no longer accepting: {}", ex.getMessage());
			}
		}
	}

	private void serve(Socket accepted) {
		try (accepted) {
			Connection connection = new Connection(accepted);
			connection.write(this.greeting);
			BufferedReader in = new BufferedReader(
					new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1));
			Request request = read(in);
			while (request != null) {
				if (!this.script.answer(connection, request)) {
					return;
				}
				request = read(in);
			}
		}
		catch (IOException ex) {
			logger.debug("connection ended: {}", ex.getMessage());
		}
		finally {
			this.open.remove(accepted);
		}
	}

	// Returns null at the end of the connection.
	private static @Nullable Request read(BufferedReader in) throws IOException {
		String id = "";
		int length = 0;
		String line = in.readLine();
		if (line == null) {
			return null;
		}
		String uri = line.split(" ", 3)[1];
		while (line != null && !line.isEmpty()) {
			String[] parts = line.split(":", 2);
			if (parts[0].equalsIgnoreCase("X-Request-Id")) {
				id = parts[1].trim();
			}
			else if (parts[0].equalsIgnoreCase("Content-Length")) {
				length = Integer.parseInt(parts[1].trim());
			}
			line = in.readLine();
		}
		char[] body = new char[length];
		for (int read = 0; read < length;) {
			int count = in.read(body, read, length - read);
			if (count < 0) {
				return null;
			}
			read += count;
		}
		return new Request(id, uri, new String(body));
	}

	@Override
	public synchronized void close() throws IOException {
		this.closed = true;
		this.socket.close();
		for (Socket connection : this.open) {
			connection.close();
		}
	}

	/**
	 * Answers the requests of all connections.
	 */
	@FunctionalInterface
	public interface Script {

		/**
		 * Answers a request.
		 * @param connection connection of the request
		 * @param request the request
		 * @return whether the connection is kept
		 */
		boolean answer(Connection connection, Request request) throws IOException;

	}

	/**
	 * Request of a daemon.
	 *
	 * @param id its identifier; empty if missing
	 * @param uri its path and query
	 * @param body its body
	 */
	public record Request(String id, String uri, String body) {

	}

	/**
	 * Connection of a daemon.
	 */
	public static final class Connection {

		private final Socket accepted;

		private String earlierAnswer = "";

		private Connection(Socket accepted) {
			this.accepted = accepted;
		}

		public void write(String text) throws IOException {
			this.accepted.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		}

		/**
		 * Waits until the daemon closes the connection.
		 * @return false if it sends data instead
		 */
		public boolean awaitClose() throws IOException {
			return this.accepted.getInputStream().read() < 0;
		}

		/**
		 * Resets the connection instead of closing it in order.
		 */
		public void resetOnClose() throws IOException {
			this.accepted.setSoLinger(true, 0);
		}

		/**
		 * Keeps an answer so that it can be written once more.
		 * @param answer the answer
		 */
		public void keepAnswer(String answer) {
			this.earlierAnswer = answer;
		}

		/**
		 * Returns the answer that was kept.
		 * @return the answer; empty if there is none
		 */
		public String earlierAnswer() {
			return this.earlierAnswer;
		}

	}

}

package org.hemlockgw.standins.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;

import javax.net.ServerSocketFactory;

/**
 * Server socket whose {@link #close()} returns when its port is free. The JDK releases
 * the port only after the thread in {@link #accept()} has woken up; until then a connect
 * still succeeds and a new server cannot bind.
 */
final class ListenerSocket extends ServerSocket {

	private static final Duration RELEASE_LIMIT = Duration.ofSeconds(5);

	private final Object lock = new Object();

	private boolean accepting;

	ListenerSocket() throws IOException {
		super();
	}

	@Override
	public Socket accept() throws IOException {
		setAccepting(true);
		try {
			return super.accept();
		}
		finally {
			setAccepting(false);
		}
	}

	@Override
	public void close() throws IOException {
		super.close();
		try {
			awaitRelease();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

	private void awaitRelease() throws IOException, InterruptedException {
		long deadlineNs = System.nanoTime() + RELEASE_LIMIT.toNanos();
		synchronized (this.lock) {
			while (this.accepting) {
				long leftMs = Duration.ofNanos(deadlineNs - System.nanoTime()).toMillis();
				if (leftMs <= 0) {
					throw new IOException("the port was not released within " + RELEASE_LIMIT);
				}
				this.lock.wait(leftMs);
			}
		}
	}

	private void setAccepting(boolean value) {
		synchronized (this.lock) {
			this.accepting = value;
			this.lock.notifyAll();
		}
	}

	/**
	 * Creates listener sockets.
	 */
	static final class Factory extends ServerSocketFactory {

		private static final int DEFAULT_BACKLOG = 50;

		@Override
		public ServerSocket createServerSocket() throws IOException {
			return new ListenerSocket();
		}

		@Override
		public ServerSocket createServerSocket(int port) throws IOException {
			return createServerSocket(port, DEFAULT_BACKLOG);
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog) throws IOException {
			return createServerSocket(port, backlog, InetAddress.getLoopbackAddress());
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog, InetAddress address) throws IOException {
			ServerSocket socket = createServerSocket();
			socket.bind(new InetSocketAddress(address, port), backlog);
			return socket;
		}

	}

}

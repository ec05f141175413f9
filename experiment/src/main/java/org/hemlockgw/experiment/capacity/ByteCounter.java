package org.hemlockgw.experiment.capacity;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Forwards TCP connections on loopback and counts the payload bytes of both directions.
 */
final class ByteCounter implements AutoCloseable {

	private static final int BUFFER_BYTES = 64 * 1024;

	private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());

	private final InetSocketAddress target;

	private final AtomicLong bytes = new AtomicLong();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	ByteCounter(InetSocketAddress target) throws IOException {
		this.target = target;
		run(this::acceptAll);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	long bytes() {
		return this.bytes.get();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private void acceptAll() throws IOException {
		while (!this.listener.isClosed()) {
			Socket near = this.listener.accept();
			Socket far = new Socket(this.target.getAddress(), this.target.getPort());
			this.sockets.add(near);
			this.sockets.add(far);
			near.setTcpNoDelay(true);
			far.setTcpNoDelay(true);
			run(() -> copy(near.getInputStream(), far.getOutputStream()));
			run(() -> copy(far.getInputStream(), near.getOutputStream()));
		}
	}

	private void copy(InputStream in, OutputStream out) throws IOException {
		byte[] buffer = new byte[BUFFER_BYTES];
		for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
			this.bytes.addAndGet(n);
			out.write(buffer, 0, n);
		}
	}

	private static void run(Copier copier) {
		Thread thread = new Thread(() -> {
			try {
				copier.run();
			}
			catch (IOException ex) {
				// The connection was closed at the end of the measurement.
			}
		}, "byte-counter");
		thread.setDaemon(true);
		thread.start();
	}

	@FunctionalInterface
	private interface Copier {

		void run() throws IOException;

	}

}

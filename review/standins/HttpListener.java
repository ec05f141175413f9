package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * HTTP/1.1 server with a thread for each connection. Serves one request at a time on a
 * connection and keeps the connection open.
 */
final class HttpListener implements AutoCloseable {

	private final ServerSocket serverSocket;

	private final Handler handler;

	private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

	HttpListener(Handler handler) throws IOException {
		this(0, handler);
	}

	HttpListener(int port, Handler handler) throws IOException {
		this.handler = handler;
		this.serverSocket = new ServerSocket();
		this.serverSocket.setReuseAddress(true);
		this.serverSocket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 256);
		Threads.start("listener", this::accept);
	}

	int port() {
		return this.serverSocket.getLocalPort();
	}

	/** Closes the server and all its connections, as the end of its process does. */
	void abort() throws IOException {
		close();
		for (Socket connection : this.connections) {
			connection.close();
		}
	}

	String address() {
		return "127.0.0.1:" + this.serverSocket.getLocalPort();
	}

	private void accept() {
		while (!this.serverSocket.isClosed()) {
			try {
				Socket socket = this.serverSocket.accept();
				Threads.start("connection", () -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		this.connections.add(socket);
		try (socket) {
			socket.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			while (true) {
				Request request = readRequest(in);
				if (request == null) {
					return;
				}
				this.handler.handle(request, new Response(socket));
			}
		}
		catch (IOException ex) {
			// The peer has closed the connection, or the handler does.
		}
		finally {
			this.connections.remove(socket);
		}
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				throw new EOFException();
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return headers;
	}

	private static Request readRequest(InputStream in) throws IOException {
		String line;
		try {
			line = readLine(in);
		}
		catch (EOFException ex) {
			return null;
		}
		String[] words = line.split(" ");
		Map<String, String> headers = readHeaders(in);
		byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
		return new Request(words[0], words[1], headers, body);
	}

	@Override
	public void close() throws IOException {
		this.serverSocket.close();
	}

	/** Handles requests; an exception closes the connection without a further byte. */
	interface Handler {

		void handle(Request request, Response response) throws IOException;

	}

	record Request(String method, String uri, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String path() {
			int query = this.uri.indexOf('?');
			return (query < 0) ? this.uri : this.uri.substring(0, query);
		}

		String query(String name, String defaultValue) {
			int query = this.uri.indexOf('?');
			for (String pair : this.uri.substring(query + 1).split("&")) {
				if (query >= 0 && pair.startsWith(name + "=")) {
					return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
				}
			}
			return defaultValue;
		}

		long query(String name, long defaultValue) {
			return Long.parseLong(query(name, String.valueOf(defaultValue)));
		}

	}

	static final class Response {

		private final Socket socket;

		private final Map<String, String> headers = new TreeMap<>();

		Response(Socket socket) {
			this.socket = socket;
		}

		void header(String name, String value) {
			this.headers.put(name, value);
		}

		void send(int status, byte[] body) throws IOException {
			header("Content-Length", String.valueOf(body.length));
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes(head(status));
			bytes.writeBytes(body);
			out().write(bytes.toByteArray());
			out().flush();
		}

		void beginChunks(int status) throws IOException {
			header("Transfer-Encoding", "chunked");
			out().write(head(status));
			out().flush();
		}

		void chunk(byte[] data) throws IOException {
			ByteArrayOutputStream bytes = new ByteArrayOutputStream();
			bytes.writeBytes((Integer.toHexString(data.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
			bytes.writeBytes(data);
			bytes.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
			out().write(bytes.toByteArray());
			out().flush();
		}

		void endChunks() throws IOException {
			out().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			out().flush();
		}

		private OutputStream out() throws IOException {
			return this.socket.getOutputStream();
		}

		private byte[] head(int status) {
			StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " -\r\n");
			this.headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
		}

	}

}

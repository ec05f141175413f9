import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Minimal HTTP/1.1 server on a loopback address with one thread per connection. */
final class HttpServer implements AutoCloseable {

	private final ServerSocket listener;

	private final Handler handler;

	HttpServer(Handler handler) throws IOException {
		this.handler = handler;
		this.listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
		start("accept", this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	static Thread start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				socket.setTcpNoDelay(true);
				start("connection", () -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
			OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 65536);
			for (Request request = Request.read(in); request != null; request = Request.read(in)) {
				this.handler.handle(request, new Response(out));
				out.flush();
			}
		}
		catch (IOException | RuntimeException ex) {
			// The connection ends.
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				return null;
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	static Map<String, String> readHeaders(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>();
		for (String line = readLine(in); line != null; line = readLine(in)) {
			if (line.isEmpty()) {
				return headers;
			}
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		throw new IOException("connection ended within the headers");
	}

	interface Handler {

		void handle(Request request, Response response) throws IOException;

	}

	record Request(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body) {

		static Request read(InputStream in) throws IOException {
			String line = readLine(in);
			if (line == null) {
				return null;
			}
			String[] words = line.split(" ");
			Map<String, String> headers = readHeaders(in);
			int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
			byte[] body = in.readNBytes(length);
			if (body.length < length) {
				throw new IOException("connection ended within the body");
			}
			int mark = words[1].indexOf('?');
			Map<String, String> query = new TreeMap<>();
			for (String part : (mark < 0) ? new String[0] : words[1].substring(mark + 1).split("&")) {
				int equals = part.indexOf('=');
				query.put(part.substring(0, equals),
						java.net.URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
			}
			return new Request(words[0], (mark < 0) ? words[1] : words[1].substring(0, mark), query, headers, body);
		}

		long number(String name) {
			return Long.parseLong(this.query.getOrDefault(name, "0"));
		}

		String header(String name) {
			return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
		}

	}

	record Response(OutputStream out) {

		void send(int status, Map<String, String> headers, byte[] body) throws IOException {
			head(status, headers, "Content-Length: " + body.length);
			this.out.write(body);
			this.out.flush();
		}

		void json(int status, String body) throws IOException {
			send(status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
		}

		void head(int status, Map<String, String> headers, String framing) throws IOException {
			StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
			headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
			text.append(framing).append("\r\n\r\n");
			this.out.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
		}

		void chunk(String text) throws IOException {
			byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
			this.out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			this.out.write(bytes);
			this.out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

		void endChunks() throws IOException {
			this.out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			this.out.flush();
		}

	}

}

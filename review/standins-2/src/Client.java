import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Client with one connection to one daemon, which it keeps between requests. */
final class Client implements AutoCloseable {

	private static final int CONNECT_MS = 1000;

	private final int port;

	private Socket socket;

	private InputStream in;

	private int answered;

	Client(int port) {
		this.port = port;
	}

	/** Sends a request on a connection of its own. */
	static Answer sendOnce(int port, String method, String path, Map<String, String> headers, byte[] body,
			long waitMs) {
		try (Client client = new Client(port)) {
			return client.send(method, path, headers, body, waitMs);
		}
	}

	/**
	 * Sends a request and waits for its answer.
	 * @return the answer; status 0 if none of it was received
	 */
	Answer send(String method, String path, Map<String, String> headers, byte[] body, long waitMs) {
		long began = System.nanoTime();
		boolean kept = this.socket != null && this.answered > 0;
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		int status = 0;
		String cause = "";
		boolean whole = false;
		try {
			connect();
			this.socket.setSoTimeout((int) waitMs);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
			OutputStream out = this.socket.getOutputStream();
			out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			out.write(body);
			out.flush();
			String line = HttpServer.readLine(this.in);
			if (line == null) {
				throw new IOException("closed without an answer");
			}
			status = Integer.parseInt(line.split(" ")[1]);
			Map<String, String> fields = HttpServer.readHeaders(this.in);
			if ("chunked".equals(fields.get("transfer-encoding"))) {
				readChunks(received);
			}
			else {
				read(Integer.parseInt(fields.getOrDefault("content-length", "0")), received);
			}
			whole = true;
			this.answered++;
			if ("close".equals(fields.get("connection"))) {
				close();
			}
		}
		catch (IOException ex) {
			cause = String.valueOf(ex.getMessage());
			close();
		}
		return new Answer(status, whole, kept, received.toString(StandardCharsets.UTF_8), cause,
				(System.nanoTime() - began) / 1_000_000);
	}

	private void connect() throws IOException {
		if (this.socket != null) {
			return;
		}
		Socket opened = new Socket();
		opened.connect(new InetSocketAddress("127.0.0.1", this.port), CONNECT_MS);
		opened.setTcpNoDelay(true);
		this.socket = opened;
		this.in = new BufferedInputStream(opened.getInputStream());
		this.answered = 0;
	}

	private void read(int length, ByteArrayOutputStream received) throws IOException {
		byte[] bytes = this.in.readNBytes(length);
		received.writeBytes(bytes);
		if (bytes.length < length) {
			throw new IOException("closed within the answer");
		}
	}

	private void readChunks(ByteArrayOutputStream received) throws IOException {
		for (int length = -1; length != 0;) {
			String size = HttpServer.readLine(this.in);
			if (size == null) {
				throw new IOException("closed within the answer");
			}
			length = Integer.parseInt(size.trim(), 16);
			read(length, received);
			if (HttpServer.readLine(this.in) == null) {
				throw new IOException("closed within the answer");
			}
		}
	}

	/**
	 * Returns the headers of a turn.
	 * @param previous identifier of the turn that it continues; empty for none
	 */
	static Map<String, String> turn(String id, String program, String previous, long budgetTokens) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Request-Id", id);
		headers.put("X-Program-Id", program);
		headers.put("X-Session-Id", "s-" + program);
		headers.put("X-Program-Deadline-Ms", "9000");
		headers.put("X-Token-Budget", String.valueOf(budgetTokens));
		headers.put("X-Token-Usage", "1840," + Engine.EVENTS * Engine.EVENT_TOKENS);
		headers.put("X-Deadline-Ms", "3000");
		if (!previous.isEmpty()) {
			headers.put("X-Previous-Turn", previous);
		}
		return headers;
	}

	static Map<String, String> call(String id) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Request-Id", id);
		headers.put("X-Deadline-Ms", "3000");
		return headers;
	}

	/** Returns an input of a given size that begins with the identifier of its turn. */
	static byte[] input(String id, int bytes) {
		byte[] input = new byte[bytes];
		java.util.Arrays.fill(input, (byte) 'i');
		byte[] start = ("input of " + id + " ").getBytes(StandardCharsets.UTF_8);
		System.arraycopy(start, 0, input, 0, start.length);
		return input;
	}

	@Override
	public void close() {
		if (this.socket != null) {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// The connection has ended.
			}
			this.socket = null;
		}
	}

	/**
	 * Answer to a request.
	 *
	 * @param status its status; 0 without one
	 * @param whole whether it ended as the protocol says
	 * @param kept whether the connection had carried an answer before
	 * @param body what was received of the body
	 * @param cause why it isn't whole
	 * @param ms time until its end
	 */
	record Answer(int status, boolean whole, boolean kept, String body, String cause, long ms) {

		/** Returns the number of complete events that were received. */
		int events() {
			int count = 0;
			for (int at = this.body.indexOf("\n\n"); at >= 0; at = this.body.indexOf("\n\n", at + 2)) {
				count++;
			}
			return count;
		}

		boolean served() {
			return this.status == 200 && this.whole;
		}

		String text() {
			String text = this.whole ? String.valueOf(this.status) : this.status + " broken off (" + this.cause + ")";
			return text + ((this.status == 200 || this.body.isEmpty()) ? "" : " '" + this.body.trim() + "'") + " after "
					+ this.ms + " ms";
		}

	}

}

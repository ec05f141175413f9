package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Client connection to one daemon that is kept for further requests.
 */
final class Caller implements AutoCloseable {

	private static final int CONNECT_MS = 1000;

	private static final int PIECE_BYTES = 65_536;

	private final int port;

	private Socket socket;

	private InputStream in;

	private int requests;

	private long uploadMs;

	Caller(int port) {
		this.port = port;
	}

	/** Sets how long the body of a request takes to send. */
	Caller withUpload(long ms) {
		this.uploadMs = ms;
		return this;
	}

	/**
	 * Sends a request and reads its answer until the client's time budget ends.
	 * @param method method
	 * @param uri path and query
	 * @param headers headers with X-Request-Id and X-Deadline-Ms
	 * @param body body
	 * @return what the client has seen
	 */
	Answer send(String method, String uri, Map<String, String> headers, byte[] body) {
		long startMs = Trace.now();
		long budgetMs = Long.parseLong(headers.get("X-Deadline-Ms"));
		String id = headers.get("X-Request-Id");
		Trace.line("sent", "request", id, "port", this.port, "uri", uri, "bytes", body.length, "program",
				headers.get("X-Program-Id"), "previous", headers.get("X-Previous-Turn"));
		int status = 0;
		ByteArrayOutputStream content = new ByteArrayOutputStream();
		boolean complete = false;
		String end;
		boolean kept = this.requests > 0;
		Map<String, String> answerHeaders = Map.of();
		try {
			if (this.socket == null) {
				this.socket = new Socket();
				this.socket.setTcpNoDelay(true);
				this.socket.connect(new InetSocketAddress("127.0.0.1", this.port), CONNECT_MS);
				this.in = new BufferedInputStream(this.socket.getInputStream());
			}
			this.requests++;
			this.socket.setSoTimeout((int) Math.max(1, budgetMs));
			write(method, uri, headers, body);
			String line = HttpListener.readLine(this.in);
			status = Integer.parseInt(line.split(" ")[1]);
			answerHeaders = HttpListener.readHeaders(this.in);
			readBody(answerHeaders, content, startMs + budgetMs);
			complete = true;
			end = "complete";
			if ("close".equalsIgnoreCase(answerHeaders.get("connection"))) {
				close();
			}
		}
		catch (SocketTimeoutException ex) {
			end = "client-timeout";
			close();
		}
		catch (IOException ex) {
			end = "closed";
			close();
		}
		Answer answer = new Answer(id, status, answerHeaders, content.toByteArray(), complete, end, kept, startMs,
				Trace.now());
		Trace.line("answered", "request", id, "status", status, "end", end, "bytes", content.size(), "kept", kept,
				"ms", answer.endMs() - startMs);
		return answer;
	}

	private void write(String method, String uri, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder(method + " " + uri + " HTTP/1.1\r\nHost: " + Cluster.HOST + "\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body.length > 0 || method.equals("POST")) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		bytes.writeBytes(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
		if (this.uploadMs == 0) {
			bytes.writeBytes(body);
		}
		this.socket.getOutputStream().write(bytes.toByteArray());
		if (this.uploadMs > 0) {
			writeSlowly(body);
		}
	}

	private void writeSlowly(byte[] body) throws IOException {
		long startMs = Trace.now();
		for (int offset = 0; offset < body.length; offset += PIECE_BYTES) {
			Threads.sleep(startMs + this.uploadMs * offset / body.length - Trace.now());
			this.socket.getOutputStream().write(body, offset, Math.min(PIECE_BYTES, body.length - offset));
		}
	}

	private void readBody(Map<String, String> headers, ByteArrayOutputStream content, long untilMs)
			throws IOException {
		if (!"chunked".equals(headers.get("transfer-encoding"))) {
			content.writeBytes(this.in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0"))));
			return;
		}
		while (true) {
			this.socket.setSoTimeout((int) Math.max(1, untilMs - Trace.now()));
			int size = Integer.parseInt(HttpListener.readLine(this.in), 16);
			byte[] chunk = this.in.readNBytes(size);
			if (chunk.length < size) {
				throw new EOFException();
			}
			content.writeBytes(chunk);
			HttpListener.readLine(this.in);
			if (size == 0) {
				return;
			}
		}
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
		this.socket = null;
		this.requests = 0;
	}

	static Map<String, String> headers(String id, long deadlineMs) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Request-Id", id);
		headers.put("X-Deadline-Ms", String.valueOf(deadlineMs));
		return headers;
	}

	/**
	 * Headers of a turn.
	 * @param id identifier of the request
	 * @param program identifier of the program
	 * @param previous previous turn, or null
	 * @param budget token budget of the program
	 * @param tokens largest number of tokens of this turn
	 * @param deadlineMs time budget
	 * @return the headers
	 */
	static Map<String, String> turn(String id, String program, String previous, long budget, int tokens,
			long deadlineMs) {
		Map<String, String> headers = headers(id, deadlineMs);
		headers.put("X-Model", "m");
		headers.put("X-Token-Usage", "100," + tokens);
		headers.put("X-Prompt-Prefix", "5c1e07a2:50," + Integer.toHexString(program.hashCode()) + ":50");
		headers.put("X-Program-Id", program);
		headers.put("X-Session-Id", "s-" + program);
		headers.put("X-Program-Deadline-Ms", "60000");
		headers.put("X-Token-Budget", String.valueOf(budget));
		if (previous != null) {
			headers.put("X-Previous-Turn", previous);
		}
		return headers;
	}

	/** What a client has seen of one attempt; status 0 if no answer began. */
	record Answer(String id, int status, Map<String, String> headers, byte[] body, boolean complete, String end,
			boolean kept, long startMs, long endMs) {

		boolean isSuccess() {
			return this.complete && this.status == 200;
		}

	}

}

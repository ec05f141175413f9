package org.hemlockgw.experiment;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Caller's side of the HTTP interface. A request that fails for lack of a daemon is sent
 * again through the next one, with the same idempotency key.
 */
final class DemoClient {

	/** Failure detection and take-over take a few seconds; this is far above. */
	private static final Duration RETRY_FOR = Duration.ofSeconds(30);

	private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

	private final List<String> daemons;

	private final String key;

	private final String traceparent;

	private int current;

	DemoClient(List<String> daemons, String key, String traceparent) {
		this.daemons = daemons;
		this.key = key;
		this.traceparent = traceparent;
	}

	/**
	 * Sends a request until a daemon answers it for good.
	 * @param method the HTTP method
	 * @param path path of the request
	 * @param body the JSON body; empty for none
	 * @param headers further headers
	 * @return the body of the successful response
	 * @throws IOException if the request fails or no daemon answers in time
	 * @throws InterruptedException if the thread was interrupted
	 */
	String send(String method, String path, String body, Map<String, String> headers)
			throws IOException, InterruptedException {
		long until = System.nanoTime() + RETRY_FOR.toNanos();
		while (true) {
			String cause;
			try {
				HttpResponse<String> response = this.http.send(request(method, path, body, headers),
						HttpResponse.BodyHandlers.ofString());
				if (response.statusCode() < 300) {
					return response.body();
				}
				cause = response.statusCode() + " " + response.body();
				if (response.statusCode() != 503 && response.statusCode() != 429) {
					throw new DemoFailure(method + " " + path + " failed: " + cause);
				}
			}
			catch (DemoFailure ex) {
				throw ex;
			}
			catch (IOException ex) {
				cause = String.valueOf(ex);
			}
			if (System.nanoTime() > until) {
				throw new DemoFailure(method + " " + path + " found no daemon: " + cause);
			}
			this.current = (this.current + 1) % this.daemons.size();
			System.out.println("  retry through " + this.daemons.get(this.current) + " after: " + cause);
			Thread.sleep(RETRY_PAUSE.toMillis());
		}
	}

	private HttpRequest request(String method, String path, String body, Map<String, String> headers) {
		HttpRequest.Builder builder = HttpRequest
			.newBuilder(URI.create("http://" + this.daemons.get(this.current) + path))
			.timeout(REQUEST_TIMEOUT)
			.header("Authorization", "Bearer " + this.key)
			.header("traceparent", this.traceparent)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		headers.forEach(builder::header);
		return builder.build();
	}

	JsonNode json(String method, String path, String body, Map<String, String> headers)
			throws IOException, InterruptedException {
		return MAPPER.readTree(send(method, path, body, headers));
	}

	/**
	 * Reads a document without authentication, from an admin listener or a stand-in.
	 * @param address the IP number and port
	 * @param path path of the document
	 * @return the document
	 * @throws IOException if it can't be read
	 * @throws InterruptedException if the thread was interrupted
	 */
	JsonNode read(String address, String path) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(REQUEST_TIMEOUT)
			.build();
		return MAPPER.readTree(this.http.send(request, HttpResponse.BodyHandlers.ofString()).body());
	}

	/**
	 * Joins the text of a streamed answer and checks that it is whole.
	 * @param events body of server-sent events
	 * @return the text
	 * @throws IOException if the answer has no end or lacks tokens
	 */
	static String answer(String events) throws IOException {
		List<String> data = events.lines()
			.filter((line) -> line.startsWith("data: "))
			.map((line) -> line.substring("data: ".length()))
			.collect(Collectors.toList());
		if (data.isEmpty() || !data.remove(data.size() - 1).equals("[DONE]")) {
			throw new DemoFailure("the answer has no [DONE]: " + events);
		}
		StringBuilder text = new StringBuilder();
		int tokens = -1;
		for (String event : data) {
			JsonNode chunk = MAPPER.readTree(event);
			text.append(chunk.at("/choices/0/delta/content").asText(""));
			tokens = chunk.at("/usage/completion_tokens").asInt(tokens);
		}
		int received = text.toString().trim().split("\\s+").length;
		if (received != tokens) {
			throw new DemoFailure("received " + received + " of " + tokens + " tokens: " + text);
		}
		return text.toString();
	}

	/**
	 * A request that failed for good.
	 */
	static final class DemoFailure extends IOException {

		private static final long serialVersionUID = 1L;

		DemoFailure(String message) {
			super(message);
		}

	}

}

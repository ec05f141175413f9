import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of an engine or plain server: answers streaming requests with events and others
 * with a text, and counts what it has run.
 */
final class Engine implements AutoCloseable {

	static final int EVENT_TOKENS = 17;

	static final int EVENTS = 4;

	private static final long HEARTBEAT_MS = 1200;

	private static final String EVENT_TEXT = "x".repeat(120);

	private final HttpServer server;

	private final String id;

	private final String service;

	private final int slots;

	private final long workMs;

	private volatile long eventPauseMs = 2;

	private final AtomicInteger running = new AtomicInteger();

	private final Map<String, Integer> runs = new HashMap<>();

	Engine(String id, String service, int slots, long workMs) throws IOException {
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.workMs = workMs;
		this.server = new HttpServer(this::handle);
	}

	String id() {
		return this.id;
	}

	String address() {
		return this.server.address();
	}

	void register(LogStore store) {
		store.put("keyed.servers", this.id,
				"{\"service\":\"" + this.service + "\",\"address\":\"" + this.server.address()
						+ "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + this.slots
						+ ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}");
	}

	/** Writes the entry again at the interval of the pages. */
	void keepRegistered(LogStore store) {
		HttpServer.start("heartbeat", () -> {
			while (true) {
				LogStore.pause(HEARTBEAT_MS);
				register(store);
			}
		});
	}

	void setEventPause(long ms) {
		this.eventPauseMs = ms;
	}

	int runs(String request) {
		synchronized (this.runs) {
			return this.runs.getOrDefault(request, 0);
		}
	}

	int totalRuns() {
		synchronized (this.runs) {
			return this.runs.values().stream().mapToInt(Integer::intValue).sum();
		}
	}

	int running() {
		return this.running.get();
	}

	/** Returns the data that a turn's events have, each followed by a line feed. */
	static String output(String request) {
		StringBuilder text = new StringBuilder();
		for (int event = 1; event <= EVENTS; event++) {
			text.append(data(request, event)).append('\n');
		}
		return text.toString();
	}

	private static String data(String request, int event) {
		return request + "-" + event + EVENT_TEXT;
	}

	private void handle(HttpServer.Request request, HttpServer.Response response) throws IOException {
		String name = request.header("X-Request-Id");
		Map<String, String> headers = new LinkedHashMap<>(Map.of("X-Request-Id", name));
		if (request.path().equals("/health")) {
			response.send(200, Map.of("X-Instance-Id", this.id), new byte[0]);
			return;
		}
		if (!request.header("X-Target-Instance").isEmpty() && !request.header("X-Target-Instance").equals(this.id)) {
			headers.put("X-Instance-Id", this.id);
			response.send(421, headers, new byte[0]);
			return;
		}
		if (this.running.incrementAndGet() > this.slots + 24) {
			this.running.decrementAndGet();
			headers.put("X-Not-Executed", "1");
			response.send(503, headers, new byte[0]);
			return;
		}
		try {
			synchronized (this.runs) {
				this.runs.merge(name, 1, Integer::sum);
			}
			headers.put("X-Server-Signature", "sig-" + name);
			LogStore.pause(this.workMs);
			if (request.header("X-Token-Usage").isEmpty()) {
				response.send(200, headers, ("answer to " + name).getBytes());
				return;
			}
			headers.put("Content-Type", "text/event-stream");
			response.head(200, headers, "Transfer-Encoding: chunked");
			for (int event = 1; event <= EVENTS; event++) {
				response.chunk("id: " + event + "\ndata: " + data(name, event) + "\n\n");
				LogStore.pause(this.eventPauseMs);
			}
			response.endChunks();
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/** Creates engines of one service and registers them. */
	static List<Engine> start(LogStore store, String service, int count, int slots, long workMs) throws IOException {
		List<Engine> engines = new ArrayList<>();
		for (int number = 1; number <= count; number++) {
			Engine engine = new Engine("i-" + service + "-" + number, service, slots, workMs);
			engine.register(store);
			engines.add(engine);
		}
		return engines;
	}

}

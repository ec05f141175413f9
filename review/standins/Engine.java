package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Engine or plain service. A request with X-Token-Usage is answered with events.
 */
final class Engine implements AutoCloseable {

	static final int EVENT_TOKENS = 17;

	private static final long HEARTBEAT_MS = 1200;

	private static final long DOWN_MS = 2000;

	private final String id;

	private final String service;

	private final String zone;

	private final int slots;

	private volatile long born = System.currentTimeMillis();

	private final Store store;

	private final String address;

	private volatile HttpListener listener;

	private final List<Run> runs = new CopyOnWriteArrayList<>();

	private final AtomicInteger running = new AtomicInteger();

	private volatile Predicate<HttpListener.Request> answerLost = (request) -> false;

	private volatile Predicate<HttpListener.Request> crashing = (request) -> false;

	private volatile boolean down;

	private volatile long eventMs = 20;

	private volatile long workMs = 30;

	private volatile String state = "ready";

	private volatile boolean closed;

	Engine(Store store, String id, String service, String zone, int slots) throws IOException {
		this.store = store;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.listener = new HttpListener(this::handle);
		this.address = this.listener.address();
		Threads.start("heartbeat", this::report);
	}

	String id() {
		return this.id;
	}

	void setEventMs(long value) {
		this.eventMs = value;
	}

	void setWorkMs(long value) {
		this.workMs = value;
	}

	/** Selects requests that run and whose connection then ends without an answer. */
	void loseAnswers(Predicate<HttpListener.Request> selected) {
		this.answerLost = selected;
	}

	/** Selects requests that crash the engine when it begins to run them. */
	void crashOn(Predicate<HttpListener.Request> selected) {
		this.crashing = selected;
	}

	// The engine is back after some seconds, under its id and address.
	private synchronized void crash(String requestId) throws IOException {
		if (this.down) {
			return;
		}
		this.down = true;
		Trace.line("crashed", "engine", this.id, "request", requestId);
		this.listener.abort();
		Threads.start("restart", () -> {
			Threads.sleep(DOWN_MS);
			try {
				this.listener = new HttpListener(this.listener.port(), this::handle);
				this.born = System.currentTimeMillis();
				this.down = false;
				Trace.line("restarted", "engine", this.id);
			}
			catch (IOException ex) {
				Trace.say("engine " + this.id + " could not be restarted: " + ex);
			}
		});
	}

	List<Run> runs() {
		return this.runs;
	}

	int running() {
		return this.running.get();
	}

	int slots() {
		return this.slots;
	}

	private void report() {
		for (int sequence = 1; !this.closed; sequence++) {
			if (this.down) {
				Threads.sleep(HEARTBEAT_MS);
				continue;
			}
			this.store.put("keyed.servers", this.id,
					"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"born\":%d,\"seq\":%d}"
						.formatted(this.service, this.address, this.zone, this.slots, this.state, this.born,
								sequence));
			Threads.sleep(HEARTBEAT_MS);
		}
	}

	private void handle(HttpListener.Request request, HttpListener.Response response) throws IOException {
		response.header("X-Instance-Id", this.id);
		if (request.path().equals("/health")) {
			response.send(200, new byte[0]);
			return;
		}
		String requestId = String.valueOf(request.header("X-Request-Id"));
		response.header("X-Request-Id", requestId);
		response.header("Keep-Alive", "timeout=5");
		if (!this.id.equals(request.header("X-Target-Instance"))) {
			response.header("X-Not-Executed", "1");
			response.send(421, new byte[0]);
			return;
		}
		if (this.running.incrementAndGet() > this.slots) {
			this.running.decrementAndGet();
			response.header("X-Not-Executed", "1");
			response.send(503, new byte[0]);
			return;
		}
		try {
			run(request, response, requestId);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private void run(HttpListener.Request request, HttpListener.Response response, String requestId)
			throws IOException {
		this.runs.add(new Run(Trace.now(), requestId, this.id, request.method(), request.uri(), request.body(),
				request.header("X-Previous-Turn"), request.header("X-Program-Id")));
		Trace.line("ran", "request", requestId, "engine", this.id, "bytes", request.body().length);
		if (this.crashing.test(request)) {
			crash(requestId);
			throw new IOException("the engine has crashed");
		}
		if (this.answerLost.test(request)) {
			Threads.sleep(this.workMs);
			Trace.line("answer-lost", "request", requestId, "engine", this.id);
			throw new IOException("the answer is lost");
		}
		response.header("X-Server-Signature", "signature-of-" + requestId);
		String usage = request.header("X-Token-Usage");
		if (usage == null) {
			Threads.sleep(this.workMs);
			response.header("Content-Type", "text/plain");
			response.send(200, ("done " + requestId + "\n").getBytes(StandardCharsets.UTF_8));
			return;
		}
		int tokens = Integer.parseInt(usage.substring(usage.indexOf(',') + 1).trim());
		response.header("Content-Type", "text/event-stream");
		response.beginChunks(200);
		for (int event = 1; event * EVENT_TOKENS <= tokens; event++) {
			Threads.sleep(this.eventMs);
			response.chunk(("id: " + event + "\ndata: " + requestId + "." + event + "\n\n")
				.getBytes(StandardCharsets.UTF_8));
		}
		response.endChunks();
	}

	/** Returns the data that a turn with a number of tokens adds to its chain. */
	static String output(String requestId, int tokens) {
		StringBuilder data = new StringBuilder();
		for (int event = 1; event * EVENT_TOKENS <= tokens; event++) {
			data.append(requestId).append('.').append(event).append('\n');
		}
		return data.toString();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
	}

	record Run(long atMs, String requestId, String engine, String method, String uri, byte[] body, String previousTurn,
			String program) {

	}

}

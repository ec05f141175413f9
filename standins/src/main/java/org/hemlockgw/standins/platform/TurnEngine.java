package org.hemlockgw.standins.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.standins.http.Exchange;
import org.hemlockgw.standins.http.StandinHttpServer;

/**
 * Stand-in of an engine or plain service of the platform. A streaming request is answered
 * with events, any other with a text.
 */
public final class TurnEngine implements AutoCloseable {

	private static final List<String> RECORDED_HEADERS = List.of("Authorization", "X-Tenant", "X-Hold", "X-Pin-Ms",
			"X-Kv-Backup", "Kv-From", "Kv-Fetch");

	private final String id;

	private final StandinHttpServer server;

	private final List<Run> runs = new CopyOnWriteArrayList<>();

	private volatile Fault fault = Fault.NONE;

	private volatile int events = 3;

	private volatile long pauseMs;

	private volatile boolean leaving;

	public TurnEngine(String id) {
		this.id = id;
		this.server = new StandinHttpServer("127.0.0.1:0", this::handle);
		this.server.start();
	}

	public String id() {
		return this.id;
	}

	public String address() {
		return this.server.address();
	}

	/**
	 * Returns the entry that the engine writes to the store.
	 * @param service name of its service
	 * @param state {@code ready} or {@code draining}
	 * @return entry as JSON
	 */
	public String entry(String service, String state) {
		return entry(address(), service, state);
	}

	/**
	 * Returns the entry that an engine writes to the store.
	 * @param address where it listens
	 * @param service name of its service
	 * @param state {@code ready} or {@code draining}
	 * @return entry as JSON
	 */
	public static String entry(String address, String service, String state) {
		return "{\"service\":\"" + service + "\",\"address\":\"" + address
				+ "\",\"zone\":\"here-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state + "\",\"seq\":1}";
	}

	public List<Run> runs() {
		return List.copyOf(this.runs);
	}

	public void setFault(Fault value) {
		this.fault = value;
	}

	/**
	 * Sets how streams look.
	 * @param count events of each stream
	 * @param pause pause before each event in milliseconds
	 */
	public void setEvents(int count, long pause) {
		this.events = count;
		this.pauseMs = pause;
	}

	/**
	 * Sets whether all responses state that the engine is leaving.
	 * @param value whether it is leaving
	 */
	public void setLeaving(boolean value) {
		this.leaving = value;
	}

	private void handle(Exchange exchange) throws IOException {
		String request = String.valueOf(exchange.header("X-Request-Id"));
		exchange.setHeader("X-Request-Id", request);
		if (this.leaving) {
			exchange.setHeader("Server-Leaving", "1");
		}
		if (!this.id.equals(exchange.header("X-Target-Instance"))) {
			exchange.setHeader("X-Instance-Id", this.id);
			exchange.respondError(421, "another engine");
			return;
		}
		Fault now = this.fault;
		if (now == Fault.FULL) {
			exchange.setHeader("X-Not-Executed", "1");
			exchange.respondError(503, "full");
			return;
		}
		String body = new String(exchange.body(), StandardCharsets.UTF_8);
		int lastEvent = parseEventId(exchange.header("Last-Event-Id"));
		this.runs.add(new Run(request, body, lastEvent, recordedHeaders(exchange)));
		if (now == Fault.ANSWER_LOST) {
			throw new IOException("answer is lost");
		}
		if (now != Fault.UNSIGNED) {
			exchange.setHeader("X-Server-Signature", "signature-of-" + request);
		}
		if (now == Fault.FOREIGN_ID) {
			exchange.setHeader("X-Request-Id", "another");
		}
		if (exchange.header("X-Token-Usage") == null) {
			exchange.respond(200, Map.of("request", request));
			return;
		}
		exchange.respondEvents((out) -> {
			for (int event = lastEvent + 1; event <= this.events; event++) {
				pause();
				if (now == Fault.CUT_IN_EVENT && event == 2) {
					out.write(("id: " + event + "\ndata: " + request).getBytes(StandardCharsets.UTF_8));
					out.flush();
					cut();
				}
				out.write(("id: " + event + "\ndata: " + request + "-" + event + "\n\n")
					.getBytes(StandardCharsets.UTF_8));
				out.flush();
				if (now == Fault.CUT && event == 1) {
					cut();
				}
			}
		});
	}

	private static Map<String, String> recordedHeaders(Exchange exchange) {
		Map<String, String> found = new TreeMap<>();
		for (String name : RECORDED_HEADERS) {
			String value = exchange.header(name);
			if (value != null) {
				found.put(name, value);
			}
		}
		return found;
	}

	// Closing the answer would end it as if it were whole.
	private void cut() throws IOException {
		this.server.stop();
		this.server.start();
		throw new IOException("cut");
	}

	private static int parseEventId(@Nullable String header) {
		return (header != null) ? Integer.parseInt(header) : 0;
	}

	private void pause() throws IOException {
		try {
			Thread.sleep(this.pauseMs);
		}
		catch (InterruptedException ex) {
			throw new IOException("stopped", ex);
		}
	}

	/**
	 * Returns the bodies of one request.
	 * @param request its identifier
	 * @return bodies, one for each run
	 */
	public List<String> bodies(String request) {
		List<String> found = new ArrayList<>();
		this.runs.forEach((run) -> {
			if (run.request().equals(request)) {
				found.add(run.body());
			}
		});
		return found;
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * What goes wrong with each request.
	 */
	public enum Fault {

		/** Nothing. */
		NONE,

		/** The request is rejected and not run. */
		FULL,

		/** The request runs and its connection ends without an answer. */
		ANSWER_LOST,

		/** The stream ends after its first event. */
		CUT,

		/** The stream ends within its second event. */
		CUT_IN_EVENT,

		/** The answer names another request. */
		FOREIGN_ID,

		/** The answer has no signature. */
		UNSIGNED

	}

	/**
	 * A request that ran.
	 *
	 * @param request its identifier
	 * @param body its body
	 * @param lastEvent event after which its stream resumes; 0 for a whole stream
	 * @param headers received headers that concern accounts or that only the gateway may
	 * set
	 */
	public record Run(String request, String body, int lastEvent, Map<String, String> headers) {

	}

}

package org.hemlockgw.standins.log;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.standins.http.Exchange;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.http.StandinHttpServer;
import org.hemlockgw.standins.http.Switches;

/**
 * The platform's log service: append-only streams in memory with switchable faults.
 */
public final class LogServer implements AutoCloseable {

	private static final int MAX_PAGE_RECORDS = 10_000;

	private static final long MAX_WAIT_MS = 60_000;

	private final Map<String, RetainedStream> streams = new ConcurrentHashMap<>();

	private final AppendLimiter limiter = new AppendLimiter();

	private final InstantSource clock;

	private final Switches<LogSwitches> switches;

	private final StandinHttpServer http;

	private volatile boolean closed;

	public LogServer(LogOptions options, String address) {
		this(options, address, InstantSource.system());
	}

	public LogServer(LogOptions options, String address, InstantSource clock) {
		this.clock = clock;
		this.switches = new Switches<>(LogSwitches.class,
				new LogSwitches(false, 0, 0, options.appendsPerS(), options.retentionMs()));
		this.http = new StandinHttpServer(address, this::handle);
	}

	public void start() {
		this.http.start();
	}

	public String address() {
		return this.http.address();
	}

	/**
	 * Sets the switches that a JSON object names.
	 * @param json same object as of {@code POST /switches}
	 */
	public void set(String json) {
		this.switches.set(json);
		wakeReaders();
	}

	@Override
	public void close() {
		this.closed = true;
		this.http.close();
		wakeReaders();
	}

	private void handle(Exchange exchange) throws IOException {
		if (this.switches.handle(exchange)) {
			wakeReaders();
			return;
		}
		if (exchange.route().equals("GET /stats")) {
			exchange.respond(200, Map.of("streams", stats()));
			return;
		}
		List<String> path = exchange.segments();
		if (path.size() != 3 || !path.get(0).equals("streams") || !path.get(2).equals("records")) {
			throw new HttpRejection(404, "no such resource: " + exchange.route());
		}
		delay();
		switch (exchange.method()) {
			case "POST" -> append(path.get(1), exchange);
			case "GET" -> read(path.get(1), exchange);
			default -> throw new HttpRejection(405, "allowed methods are GET and POST");
		}
	}

	private void append(String stream, Exchange exchange) throws IOException {
		byte[] data = exchange.body();
		rejectDuringOutage();
		Instant now = this.clock.instant();
		if (!this.limiter.tryAppend(now, this.switches.get().appendsPerS())) {
			throw new HttpRejection(429, "append rate exceeded");
		}
		long offset = stream(stream).append(data, now);
		if (this.switches.update(LogSwitches::withOneAnswerLost).loseAnswers() > 0) {
			throw new IOException("the answer is lost on purpose");
		}
		exchange.respond(200, Map.of("offset", offset));
	}

	private void read(String name, Exchange exchange) throws IOException {
		long from = exchange.queryNumber("from", 0);
		int max = (int) Math.max(1, Math.min(MAX_PAGE_RECORDS, exchange.queryNumber("max", 1000)));
		long waitMs = Math.min(MAX_WAIT_MS, exchange.queryNumber("wait_ms", 0));
		long deadlineNs = System.nanoTime() + Duration.ofMillis(waitMs).toNanos();
		RetainedStream stream = stream(name);
		while (true) {
			rejectDuringOutage();
			expire(stream);
			LogPage page = stream.page(from, max);
			if (from < page.firstOffset()) {
				exchange.respond(410, Map.of("first", page.firstOffset(), "next", page.nextOffset()));
				return;
			}
			Duration left = Duration.ofNanos(deadlineNs - System.nanoTime());
			if (!page.records().isEmpty() || left.toMillis() <= 0) {
				exchange.respond(200, pageJson(page));
				return;
			}
			await(stream, from, left);
		}
	}

	private void await(RetainedStream stream, long from, Duration left) throws IOException {
		try {
			stream.await(from, left);
		}
		catch (InterruptedException ex) {
			throw new InterruptedIOException();
		}
		if (this.closed) {
			throw new IOException("the server is closed");
		}
	}

	private Map<String, Object> pageJson(LogPage page) {
		List<Map<String, Object>> records = new ArrayList<>();
		for (LogRecord r : page.records()) {
			records.add(Map.of("offset", r.offset(), "time_ms", r.time().toEpochMilli(), "data",
					Base64.getEncoder().encodeToString(r.data())));
		}
		return Map.of("first", page.firstOffset(), "next", page.nextOffset(), "records", records);
	}

	private void expire(RetainedStream stream) {
		long retentionMs = this.switches.get().retentionMs();
		if (retentionMs > 0) {
			stream.expire(this.clock.instant().minusMillis(retentionMs));
		}
	}

	private void rejectDuringOutage() {
		if (this.switches.get().outage()) {
			throw new HttpRejection(503, "the log is down");
		}
	}

	private void delay() throws IOException {
		try {
			Thread.sleep(this.switches.get().delayMs());
		}
		catch (InterruptedException ex) {
			throw new InterruptedIOException();
		}
	}

	private RetainedStream stream(String name) {
		RetainedStream stream = this.streams.computeIfAbsent(name, (n) -> new RetainedStream());
		expire(stream);
		return stream;
	}

	private void wakeReaders() {
		this.streams.values().forEach(RetainedStream::wake);
	}

	private Map<String, LogStreamStats> stats() {
		Map<String, LogStreamStats> stats = new TreeMap<>();
		this.streams.forEach((name, stream) -> stats.put(name, stream.stats()));
		return stats;
	}

}

package org.hemlockgw.standins.service;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.hemlockgw.standins.http.Exchange;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.http.StandinHttpServer;
import org.hemlockgw.standins.http.Switches;

/**
 * A plain service that counts its executions per request identifier, so that a test can
 * tell whether a call ran and how often.
 */
public final class PlainServer implements AutoCloseable {

	private static final String CALL_PREFIX = "POST /call/";

	private final Map<String, Integer> executions = new ConcurrentHashMap<>();

	private final Switches<ServiceSwitches> switches;

	private final StandinHttpServer http;

	public PlainServer(ServiceOptions options, String address) {
		this.switches = new Switches<>(ServiceSwitches.class,
				new ServiceSwitches(options.delayMs(), false, BreakPoint.NONE, -1));
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
	}

	/**
	 * Returns the executions of each request.
	 * @return count by request identifier
	 */
	public Map<String, Integer> executions() {
		return new TreeMap<>(this.executions);
	}

	@Override
	public void close() {
		this.http.close();
	}

	private void handle(Exchange exchange) throws IOException {
		if (this.switches.handle(exchange)) {
			return;
		}
		if (exchange.route().equals("GET /executions")) {
			exchange.respond(200, Map.of("executions", executions()));
			return;
		}
		if (!exchange.route().startsWith(CALL_PREFIX)) {
			throw new HttpRejection(404, "no such resource: " + exchange.route());
		}
		call(exchange);
	}

	private void call(Exchange exchange) throws IOException {
		byte[] body = exchange.body();
		String id = exchange.header("X-Request-Id");
		if (id == null) {
			throw new HttpRejection(400, "header X-Request-Id must be given");
		}
		if (this.switches.get().refuse()) {
			exchange.setHeader("X-Admitted", "false");
			throw new HttpRejection(503, "not admitted");
		}
		ServiceSwitches now = this.switches.update(ServiceSwitches::withOneBreakLess);
		BreakPoint breakPoint = now.breakPoint();
		if (breakPoint == BreakPoint.BEFORE) {
			throw new IOException("the connection breaks before the execution on purpose");
		}
		if (breakPoint == BreakPoint.DURING) {
			Executor later = CompletableFuture.delayedExecutor(now.delayMs(), TimeUnit.MILLISECONDS);
			later.execute(() -> this.executions.merge(id, 1, Integer::sum));
			throw new IOException("the connection breaks during the execution on purpose");
		}
		sleep(now.delayMs());
		int execution = this.executions.merge(id, 1, Integer::sum);
		if (breakPoint == BreakPoint.AFTER) {
			throw new IOException("the connection breaks after the execution on purpose");
		}
		exchange.respond(200, Map.of("request_id", id, "path", exchange.route().substring(CALL_PREFIX.length()),
				"execution", execution, "body_bytes", body.length));
	}

	private static void sleep(long delayMs) throws IOException {
		try {
			Thread.sleep(delayMs);
		}
		catch (InterruptedException ex) {
			throw new InterruptedIOException();
		}
	}

}

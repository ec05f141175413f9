package org.hemlockgw.standins.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.program.Message;
import org.hemlockgw.standins.http.Exchange;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.http.StandinHttpServer;
import org.hemlockgw.standins.http.Switches;

/**
 * A model engine with deterministic answers, continuous batching, a limited prefix cache
 * and switchable faults.
 */
public final class EngineServer implements AutoCloseable {

	private static final long RESTART_RETRY_MS = 100;

	private final Switches<EngineSwitches> switches;

	private final EngineDriver driver;

	private final OrderBook orders = new OrderBook();

	private final StandinHttpServer http;

	/** Released at a crash or close, which ends stalled stream connections. */
	private volatile CountDownLatch stallEnd = new CountDownLatch(1);

	/** Released at a crash or close and when the engine is no longer mute. */
	private volatile CountDownLatch muteEnd = new CountDownLatch(1);

	private final AtomicInteger crashes = new AtomicInteger();

	private volatile boolean closed;

	public EngineServer(EngineOptions options, String address) {
		this.switches = new Switches<>(EngineSwitches.class, EngineSwitches.initial(options));
		this.driver = new EngineDriver(options, this.switches);
		this.http = new StandinHttpServer(address, this::handle);
	}

	public void start() {
		this.driver.start();
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
		switchesChanged();
	}

	/**
	 * Returns the counters.
	 * @return counters since the start
	 */
	public EngineStats stats() {
		return this.driver.apply((now) -> this.driver.model().stats(now));
	}

	/**
	 * Returns how often the engine crashed.
	 * @return crashes since the start
	 */
	public int crashes() {
		return this.crashes.get();
	}

	/** Drops all connections and the cache, and starts again after the restart time. */
	public void crash() {
		this.crashes.incrementAndGet();
		this.http.stop();
		this.driver.crash();
		endStalls();
		endMute();
		restartAfter(this.switches.get().restartMs());
	}

	@Override
	public void close() {
		this.closed = true;
		this.http.close();
		this.driver.close();
		endStalls();
		endMute();
	}

	private void handle(Exchange exchange) throws IOException {
		if (this.switches.handle(exchange)) {
			switchesChanged();
			return;
		}
		if (exchange.route().equals("GET /stats")) {
			exchange.respond(200, stats());
			return;
		}
		CountDownLatch end = this.muteEnd;
		if (this.switches.get().mute()) {
			keepSilent(end);
		}
		switch (exchange.route()) {
			case "POST /v1/chat/completions" -> generate(exchange);
			case "POST /v1/cache/release" -> release(exchange);
			case "POST /v1/cache/export" -> export(exchange);
			case "POST /v1/cache/import" -> load(exchange);
			case "GET /v1/cache/events" -> exchange.respond(200, this.driver.cacheEvents()
				.read(exchange.queryNumber("from", 0), System.nanoTime(), this.switches.get().cacheEventDelayMs()));
			case "GET /v1/cache/sessions" -> exchange.respond(200, Map.of("sessions", this.driver.sessions()));
			case "GET /v1/load" ->
				exchange.respond(200, this.driver.load().read(System.nanoTime(), this.switches.get().loadLagMs()));
			case "POST /v1/orders" -> order(exchange);
			case "GET /v1/orders" -> exchange.respond(200,
					Map.of("orders", this.orders.orders(), "highest_fencing", this.orders.highestFencing()));
			default -> stream(exchange);
		}
	}

	private void generate(Exchange exchange) throws IOException {
		ChatRequest request = exchange.json(ChatRequest.class);
		request.check();
		EngineSwitches now = this.switches.get();
		if (now.refuse()) {
			exchange.setHeader("X-Admitted", "false");
			throw new HttpRejection(503, "not admitted");
		}
		List<Message> prompt = request.prompt();
		if (!now.crashMarker().isEmpty() && prompt.stream().anyMatch((m) -> m.content().contains(now.crashMarker()))) {
			crash();
			throw new IOException("the engine crashed on purpose");
		}
		EngineStream stream = newStream(exchange, request, prompt);
		this.driver.submit(stream);
		send(exchange, stream, stream.job().firstOffset());
	}

	private EngineStream newStream(Exchange exchange, ChatRequest request, List<Message> prompt) {
		String id = exchange.header("X-Request-Id");
		if (id == null) {
			throw new HttpRejection(400, "header X-Request-Id must be given");
		}
		String session = exchange.header("X-Session");
		long partial = EngineText.tokens("assistant", request.partialAnswer());
		if (request.limit() <= partial) {
			throw new HttpRejection(400, "max_tokens must be above the " + partial
					+ " tokens of the partial answer, was " + request.limit());
		}
		long tokens = Math.max(1, EngineText.tokens(prompt) + partial);
		EngineJob job = new EngineJob(id, (session != null) ? session : id, tokens, partial, request.limit());
		return new EngineStream(job, request.modelName(), EngineText.digest(prompt));
	}

	private void stream(Exchange exchange) throws IOException {
		List<String> path = exchange.segments();
		if (path.size() != 3 || !path.get(0).equals("v1") || !path.get(1).equals("streams")) {
			throw new HttpRejection(404, "no such resource: " + exchange.route());
		}
		String id = path.get(2);
		if (exchange.method().equals("DELETE")) {
			if (!this.driver.cancel(id)) {
				throw new HttpRejection(404, "no such stream: " + id);
			}
			exchange.respond(200, Map.of());
			return;
		}
		EngineStream stream = this.switches.get().resumable() ? this.driver.find(id) : null;
		if (stream == null) {
			throw new HttpRejection(404, "no such stream: " + id);
		}
		long offset = exchange.queryNumber("offset", 0);
		if (offset < stream.job().firstOffset()) {
			throw new HttpRejection(400, "offset must be at least " + stream.job().firstOffset() + ", was " + offset);
		}
		send(exchange, stream, offset);
	}

	private void send(Exchange exchange, EngineStream stream, long from) {
		EngineSwitches now = this.switches.update(EngineSwitches::withOneStallLess);
		long silentAt = (now.stallStreams() > 0) ? from + now.stallAfterTokens() : Long.MAX_VALUE;
		exchange.respondEvents((out) -> write(stream, from, silentAt, out));
	}

	private void write(EngineStream stream, long from, long silentAt, OutputStream out) throws IOException {
		EngineEvents events = new EngineEvents(stream, out);
		// Sends the response head at once.
		out.flush();
		long offset = from;
		while (offset < stream.job().maxTokens()) {
			if (offset >= silentAt) {
				keepSilent(this.stallEnd);
			}
			long available = Math.min(stream.await(offset), silentAt);
			while (offset < available) {
				events.token(offset++);
			}
			out.flush();
		}
		events.end(offset);
	}

	private void release(Exchange exchange) throws IOException {
		SessionOrder order = sessionOrder(exchange);
		accept(new OrderBook.Order("release", order.session(), order.fencingNumber()));
		if (this.switches.update(EngineSwitches::withOneReleaseLost).loseReleases() == 0) {
			this.driver.apply((now) -> this.driver.model().release(order.session(), now));
		}
		exchange.respond(200, Map.of());
	}

	private void export(Exchange exchange) throws IOException {
		SessionOrder order = sessionOrder(exchange);
		long tokens = this.driver.apply((now) -> this.driver.model().sessionTokens(order.session(), now));
		if (tokens == 0) {
			throw new HttpRejection(404, "no such session: " + order.session());
		}
		exchange.respond(200, Map.of("session", order.session(), "tokens", tokens));
	}

	private void load(Exchange exchange) throws IOException {
		SessionOrder order = sessionOrder(exchange);
		long tokens = (order.tokens() != null) ? order.tokens() : 0;
		if (tokens < 1) {
			throw new HttpRejection(400, "tokens must be at least 1, was " + tokens);
		}
		if (!this.driver.apply((now) -> this.driver.model().load(order.session(), tokens, now))) {
			throw new HttpRejection(409, "no room for " + tokens + " tokens");
		}
		exchange.respond(200, Map.of());
	}

	private static SessionOrder sessionOrder(Exchange exchange) throws IOException {
		SessionOrder order = exchange.json(SessionOrder.class);
		if (order.session() == null) {
			throw new HttpRejection(400, "session must be given");
		}
		return order;
	}

	private void order(Exchange exchange) throws IOException {
		accept(exchange.json(OrderBook.Order.class));
		exchange.respond(200, Map.of());
	}

	private void accept(OrderBook.Order order) {
		if (!this.orders.accept(order, this.switches.get().checksFencing())) {
			throw new HttpRejection(409,
					"fencing must be at least " + this.orders.highestFencing() + ", was " + order.fencing());
		}
	}

	private void restartAfter(long delayMs) {
		CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS).execute(() -> {
			try {
				this.http.start();
			}
			catch (UncheckedIOException ex) {
				// An outgoing connection of another process may hold the port for a
				// while.
				restartAfter(RESTART_RETRY_MS);
			}
		});
	}

	private void switchesChanged() {
		this.driver.apply((now) -> true);
		if (!this.switches.get().mute()) {
			endMute();
		}
	}

	private void endStalls() {
		CountDownLatch ended = this.stallEnd;
		this.stallEnd = new CountDownLatch(1);
		ended.countDown();
	}

	private void endMute() {
		CountDownLatch ended = this.muteEnd;
		this.muteEnd = new CountDownLatch(1);
		ended.countDown();
	}

	/**
	 * Leaves the connection open without an answer.
	 * @param end ends the silence
	 * @throws IOException always, which breaks the connection
	 */
	private void keepSilent(CountDownLatch end) throws IOException {
		try {
			if (!this.closed) {
				end.await();
			}
		}
		catch (InterruptedException ex) {
			throw new InterruptedIOException();
		}
		throw new IOException("the connection was silent on purpose");
	}

	/**
	 * Order about one cache session.
	 *
	 * @param session cache session
	 * @param tokens size of an imported entry
	 * @param fencing epoch of the sender's claim
	 */
	private record SessionOrder(String session, @Nullable Long tokens, @Nullable Long fencing) {

		long fencingNumber() {
			return (this.fencing != null) ? this.fencing : 0;
		}

	}

}

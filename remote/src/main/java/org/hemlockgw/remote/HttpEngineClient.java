package org.hemlockgw.remote;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.platform.CacheEvents;
import org.hemlockgw.core.platform.EngineChunk;
import org.hemlockgw.core.platform.EngineClient;
import org.hemlockgw.core.platform.EngineLoadReport;
import org.hemlockgw.core.platform.EngineRequest;
import org.hemlockgw.core.program.Message;

/**
 * Client of one engine over HTTP. A stream occupies a thread of the executor until it
 * ends; cancelling its future closes its connection but not the engine's stream.
 */
public final class HttpEngineClient implements EngineClient {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

	private static final int CONFLICT = 409;

	private final HttpCalls http;

	public HttpEngineClient(String address, Executor executor) {
		this.http = new HttpCalls(address, executor);
	}

	@Override
	public CompletableFuture<EngineChunk> generate(EngineRequest request, Duration idle, Consumer<EngineChunk> events) {
		return this.http.submit((connections, abort) -> {
			ClassicRequestBuilder builder = this.http.request("POST", "/v1/chat/completions")
				.addHeader("X-Request-Id", request.requestId())
				.addHeader("X-Session", request.session())
				.setEntity(HttpCalls.JSON.writeValueAsBytes(body(request)), ContentType.APPLICATION_JSON);
			if (!request.traceparent().isEmpty()) {
				builder.addHeader("traceparent", request.traceparent());
			}
			// A new connection: one that the engine has just closed would look like a
			// crash that this request caused.
			return connections.execute(builder.build(), ConnectionUse.NEW, idle, abort,
					new EngineStreamReader(events)::read);
		}, Failures::of);
	}

	@Override
	public CompletableFuture<EngineChunk> resume(String requestId, long offset, Duration idle,
			Consumer<EngineChunk> events) {
		return this.http.submit((connections, abort) -> {
			ClassicHttpRequest request = this.http.request("GET", stream(requestId) + "?offset=" + offset).build();
			return connections.execute(request, ConnectionUse.NEW, idle, abort, new EngineStreamReader(events)::read);
		}, Failures::of);
	}

	@Override
	public CompletableFuture<Void> cancel(String requestId) {
		return control(this.http.request("DELETE", stream(requestId)).build(), (answer) -> null);
	}

	@Override
	public CompletableFuture<Void> releaseSession(String session, long fencing) {
		ObjectNode body = HttpCalls.JSON.createObjectNode().put("session", session).put("fencing", fencing);
		return order("/v1/cache/release", body);
	}

	@Override
	public CompletableFuture<Long> exportSession(String session) {
		ObjectNode body = HttpCalls.JSON.createObjectNode().put("session", session);
		return control(this.http.jsonRequest("POST", "/v1/cache/export", body),
				(answer) -> answer.path("tokens").asLong());
	}

	@Override
	public CompletableFuture<Void> importSession(String session, long tokens) {
		ObjectNode body = HttpCalls.JSON.createObjectNode().put("session", session).put("tokens", tokens);
		return control(this.http.jsonRequest("POST", "/v1/cache/import", body), (answer) -> null);
	}

	@Override
	public CompletableFuture<List<String>> listSessions() {
		return control(this.http.request("GET", "/v1/cache/sessions").build(), (answer) -> {
			List<String> sessions = new ArrayList<>();
			answer.path("sessions").forEach((session) -> sessions.add(session.asText()));
			return List.copyOf(sessions);
		});
	}

	@Override
	public CompletableFuture<CacheEvents> fetchCacheEvents(long from) {
		return control(this.http.request("GET", "/v1/cache/events?from=" + from).build(), (answer) -> {
			List<CacheEvents.Event> events = new ArrayList<>();
			for (JsonNode e : answer.path("events")) {
				events.add(new CacheEvents.Event(e.path("sequence").asLong(), e.path("session").asText(),
						e.path("tokens").asLong()));
			}
			return new CacheEvents(answer.path("next").asLong(from), List.copyOf(events));
		});
	}

	@Override
	public CompletableFuture<EngineLoadReport> fetchLoad() {
		return control(this.http.request("GET", "/v1/load").build(),
				(answer) -> new EngineLoadReport(answer.path("running").asInt(), answer.path("waiting").asInt(),
						answer.path("cached_tokens").asLong(), answer.path("cache_capacity_tokens").asLong()));
	}

	/**
	 * Sends an order. It fails with {@code NOT_OWNER} and verdict {@code NOT_RUN} when
	 * the engine has seen a higher fencing number.
	 */
	@Override
	public CompletableFuture<Void> sendOrder(String kind, String argument, long fencing) {
		ObjectNode body = HttpCalls.JSON.createObjectNode()
			.put("kind", kind)
			.put("argument", argument)
			.put("fencing", fencing);
		return order("/v1/orders", body);
	}

	private CompletableFuture<Void> order(String path, ObjectNode body) {
		return control(this.http.jsonRequest("POST", path, body), (answer) -> null, HttpEngineClient::orderFailure);
	}

	private <T> CompletableFuture<T> control(ClassicHttpRequest request, Function<JsonNode, T> result) {
		return control(request, result, Failures::of);
	}

	private <T> CompletableFuture<T> control(ClassicHttpRequest request, Function<JsonNode, T> result,
			Function<Exception, CallFailure> failures) {
		return this.http.submit((connections, abort) -> result.apply(connections.execute(request,
				ConnectionUse.REUSED_WITH_RETRY, READ_TIMEOUT, abort, HttpCalls::readJson)), failures);
	}

	private static CallFailure orderFailure(Exception ex) {
		if (ex instanceof StatusException status && status.status() == CONFLICT) {
			return CallFailure.notRun(ErrorCode.NOT_OWNER, String.valueOf(ex.getMessage()));
		}
		return Failures.of(ex);
	}

	private static ObjectNode body(EngineRequest request) {
		ObjectNode body = HttpCalls.JSON.createObjectNode();
		body.put("model", request.model()).put("max_tokens", request.maxTokens()).put("stream", true);
		ArrayNode messages = body.putArray("messages");
		for (Message m : request.messages()) {
			messages.addObject().put("role", m.role()).put("content", m.content());
		}
		if (!request.partialAnswer().isEmpty()) {
			messages.addObject().put("role", "assistant").put("content", request.partialAnswer()).put("partial", true);
		}
		return body;
	}

	private static String stream(String requestId) {
		return "/v1/streams/" + HttpCalls.segment(requestId);
	}

}

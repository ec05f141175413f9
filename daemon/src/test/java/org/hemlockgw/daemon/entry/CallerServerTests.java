package org.hemlockgw.daemon.entry;

import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.config.Policy;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.daemon.trace.Tracing;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link CallerServer}.
 */
@Timeout(20)
class CallerServerTests {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/** SHA-256 of {@code secret}. */
	private static final String DIGEST = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

	private static final String CHAT = "/v1/chat/completions";

	private static final String HELLO = "{\"model\":\"m1\",\"temperature\":1,\"messages\":[{\"role\":\"user\","
			+ "\"content\":[{\"type\":\"text\",\"text\":\"hej\"}]}]";

	private final FakePrograms programs = new FakePrograms();

	private final HttpClient http = HttpClient.newHttpClient();

	private final Tracing tracing = new Tracing("vm-1");

	private CallerServer server;

	@BeforeEach
	void start() throws Exception {
		Blackboard blackboard = Blackboard.create();
		ClientAccount account = new ClientAccount("acme", 1, Set.of(DIGEST), 1000, 10, Set.of("m1"), Set.of("tool"));
		blackboard.configuration()
			.set(new Configuration(3, Policy.LATENCY_FIRST, Limits.DEFAULT, Map.of("acme", account), Map.of(),
					Map.of()));
		this.server = CallerServer.start(new InetSocketAddress("127.0.0.1", 0),
				new EntryContext(blackboard, this.programs, this.tracing, (program, request, hop, event, reason) -> {
				}, InstantSource.system(), "dc", new MetricRegistry()));
	}

	@AfterEach
	void stop() {
		this.server.close();
		this.tracing.close();
	}

	// Guards against invalid input that reaches an owner, and against errors that do not
	// say what is allowed.
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
					POST | /v1/programs | {}                                    | 400 | budget_tokens must be a whole number from 1 to 1000
					POST | /v1/programs | {"budget_tokens":1001}                | 400 | was 1001
					POST | /v1/programs | {"budget_tokens":"1"}                 | 400 | was "1"
					POST | /v1/programs | {"budget_tokens":9,"max_turns":0}     | 400 | max_turns must be
					POST | /v1/programs | {"budget_tokens":9,"id":"a.1"}        | 400 | id must be a name without a dot
					POST | /v1/programs | {"budget_tokens":9,"id":"b.1","parent":"a"} | 400 | id must be 'a.n'
					POST | /v1/programs | {"budget_tokens":9,"id":"a/b"}        | 400 | program id must be letters
					POST | /v1/programs | [1]                                   | 400 | body must be a JSON object
					POST | /v1/programs | {"budget                              | 400 | body must be a JSON object
					PUT  | /v1/programs | {}                                    | 400 | method must be POST, was PUT
					PUT  | /v1/programs/a | {}                                  | 400 | method must be GET or DELETE
					GET  | /v1/programs/a%20b | {}                              | 400 | program id must be letters
					POST | /v1/elsewhere | {}                                   | 404 | path must be
					POST | /v1/services/tool | {}                               | 404 | path must be
					POST | /v1/services/other/x | {}                            | 404 | service must be one of [tool]
					POST | /v1/chat/completions | {}                            | 400 | model must be a non-empty text, was missing
					POST | /v1/chat/completions | {"model":"m1"}                | 400 | messages must be a non-empty list
					POST | /v1/chat/completions | {"model":"m1","n":2}          | 400 | n must be a whole number from 1 to 1, was 2
					POST | /v1/chat/completions | {"model":"m1","tools":[]}     | 400 | tools must be absent
					POST | /v1/chat/completions | {"model":"m1","max_tokens":0} | 400 | max_tokens must be
					POST | /v1/chat/completions | {"model":"m1","stream":1,"messages":[{"role":"user","content":""}]} | 400 | stream must be true or false
					POST | /v1/chat/completions | {"model":"m1","messages":[{"role":"boss"}]} | 400 | messages[0].role must be
					POST | /v1/chat/completions | {"model":"m1","messages":[{"role":"user"}]} | 400 | messages[0].content must be
					POST | /v1/chat/completions | {"model":"m2","messages":[{"role":"user","content":""}]} | 404 | model must be one of [m1]
					""")
	void invalidBodyIsRefused(String method, String path, String body, int status, String message) throws Exception {
		HttpResponse<String> response = send(request(method, path, body));
		assertError(response, status, "NOT_RUN", message);
		assertThat(this.programs.calls).isEmpty();
	}

	// Guards against headers that are silently misread: a lost idempotency key repeats a
	// side effect.
	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			Authorization       | Basic x      | 401 | header Authorization must be
			Authorization       | Bearer wrong | 401 | belongs to no client account
			X-Hemlock-Program   | a b          | 400 | header X-Hemlock-Program
			X-Hemlock-Step      | 0            | 400 | header X-Hemlock-Step must be
			X-Hemlock-Append    | yes          | 400 | header X-Hemlock-Append must be true or false
			Idempotency-Key     | a b          | 400 | header Idempotency-Key must be
			""")
	void invalidHeaderIsRefused(String name, String value, int status, String message) throws Exception {
		HttpRequest request = HttpRequest.newBuilder(request("POST", CHAT, HELLO + "}"), (key, old) -> true)
			.setHeader(name, value)
			.build();
		assertError(send(request), status, "NOT_RUN", message);
		assertThat(this.programs.calls).isEmpty();
	}

	// Guards against a failure whose status or verdict differs from what the owner said.
	@ParameterizedTest
	@EnumSource(ErrorCode.class)
	void failureOfTheOwnerIsPassedOn(ErrorCode code) throws Exception {
		CompletableFuture<HttpResponse<String>> response = sendAsync(request("POST", CHAT, HELLO + "}"));
		this.programs.calls.take()
			.result()
			.completeExceptionally(new CallFailure(code, Verdict.MAY_HAVE_RUN, "why", Duration.ofMillis(1500)));

		assertError(response.get(), code.httpStatus(), "MAY_HAVE_RUN", "why");
		JsonNode error = MAPPER.readTree(response.get().body()).path("error");
		assertThat(error.path("code").asText()).isEqualTo(code.wireName());
		assertThat(error.path("retry_after_ms").asLong()).isEqualTo(1500);
		assertThat(response.get().headers().firstValue("Retry-After")).hasValue("2");
	}

	// Guards against a body that takes up unbounded memory.
	@Test
	void oversizedBodyIsRefused() throws Exception {
		HttpResponse<String> response = send(request("POST", CHAT, HELLO + " ".repeat(Exchange.MAX_BODY_BYTES) + "}"));
		assertError(response, 422, "NOT_RUN", "body must be at most");
	}

	// Guards against requests that reach the owner changed, and answers that reach the
	// caller changed.
	@Test
	void answersAnOrdinaryClient() throws Exception {
		CompletableFuture<HttpResponse<String>> response = sendAsync(request("POST", CHAT, HELLO + "}"));
		FakePrograms.Call call = this.programs.calls.take();
		assertThat(call.request().messages()).containsExactly(new Message("user", "hej"));
		assertThat(call.request().program().sessionName()).isEqualTo("acme/p1");
		assertThat(call.request().requestId()).isEqualTo("key-1");
		call.sink().accept(new CallEvent(0, 1, "hej "));
		call.result().complete(result("hej hej"));

		JsonNode body = MAPPER.readTree(response.get().body());
		assertThat(body.at("/choices/0/message/content").asText()).isEqualTo("hej hej");
		assertThat(body.at("/usage/total_tokens").asInt()).isEqualTo(7);
		assertThat(response.get().headers().firstValue("X-Hemlock-Verdict")).hasValue("RAN");
		assertThat(response.get().headers().firstValue("X-Hemlock-Request")).hasValue("key-1");
	}

	// Guards against events that are held back until the end of the answer.
	@Test
	void streamsEventByEvent() throws Exception {
		BufferedReader events = stream();
		FakePrograms.Call call = this.programs.calls.take();
		call.sink().accept(new CallEvent(0, 1, "hej"));
		assertThat(next(events)).contains("\"content\":\"hej\"");
		call.sink().accept(new CallEvent(1, 1, " igen"));
		assertThat(next(events)).contains("\"content\":\" igen\"");
		call.result().complete(result("hej igen"));
		assertThat(next(events)).contains("\"finish_reason\":\"stop\"");
		assertThat(next(events)).isEqualTo("data: [DONE]");
		assertThat(next(events)).isEqualTo("null");
	}

	// Guards against a broken answer that looks complete.
	@Test
	void failureInsideAStreamHasNoDone() throws Exception {
		BufferedReader events = stream();
		FakePrograms.Call call = this.programs.calls.take();
		call.sink().accept(new CallEvent(0, 1, "hej"));
		next(events);
		call.result().completeExceptionally(CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED, "engine died"));
		assertThat(next(events)).contains("\"error\":{\"code\":\"backend_failed\",\"verdict\":\"MAY_HAVE_RUN\"");
		assertThat(next(events)).isEqualTo("null");
	}

	// Guards against a call that is lost because its caller's connection broke.
	@Test
	void disconnectDoesNotCancelTheCall() throws Exception {
		BufferedReader events = stream();
		FakePrograms.Call call = this.programs.calls.take();
		call.sink().accept(new CallEvent(0, 1, "hej"));
		next(events);
		events.close();
		assertThat(call.result().isDone()).isFalse();
		call.sink().accept(new CallEvent(1, 1, "x".repeat(1 << 20)));
		call.result().complete(result("hej"));
		while (this.server.openRequests() > 0) {
			Thread.onSpinWait();
		}
	}

	// Guards against programs that begin on a daemon that is about to stop.
	@Test
	void drainingRefusesNewPrograms() throws Exception {
		HttpResponse<String> opened = send(request("POST", "/v1/programs", "{\"budget_tokens\":9}"));
		assertThat(opened.statusCode()).isEqualTo(201);
		assertThat(MAPPER.readTree(opened.body()).path("state").asText()).isEqualTo("running");
		this.server.startDraining();
		assertError(send(request("POST", "/v1/programs", "{\"budget_tokens\":9}")), 503, "NOT_RUN", "shutting down");
		HttpResponse<String> shown = send(request("GET", "/v1/programs/p1", ""));
		assertThat(MAPPER.readTree(shown.body()).path("spent_tokens").asInt()).isEqualTo(42);
	}

	private BufferedReader stream() throws Exception {
		HttpRequest request = request("POST", CHAT, HELLO + ",\"stream\":true}");
		CompletableFuture<HttpResponse<InputStream>> response = this.http.sendAsync(request,
				HttpResponse.BodyHandlers.ofInputStream());
		FakePrograms.Call call = this.programs.calls.take();
		call.sink().accept(new CallEvent(0, 0, "\u00e5"));
		this.programs.calls.add(call);
		BufferedReader events = new BufferedReader(
				new InputStreamReader(response.get().body(), StandardCharsets.UTF_8));
		assertThat(next(events)).contains("\"content\":\"\u00e5\"");
		return events;
	}

	private static String next(BufferedReader events) throws Exception {
		String line = events.readLine();
		while (line != null && line.isEmpty()) {
			line = events.readLine();
		}
		return String.valueOf(line);
	}

	private HttpRequest request(String method, String path, String body) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.server.address().getPort() + path))
			.header("Authorization", "Bearer secret")
			.header("X-Hemlock-Program", "p1")
			.header("Idempotency-Key", "key-1")
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.build();
	}

	private HttpResponse<String> send(HttpRequest request) throws Exception {
		return sendAsync(request).get();
	}

	private CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest request) {
		return this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

	private static void assertError(HttpResponse<String> response, int status, String verdict, String message)
			throws Exception {
		assertThat(response.statusCode()).isEqualTo(status);
		JsonNode error = MAPPER.readTree(response.body()).path("error");
		assertThat(error.path("message").asText()).contains(message);
		assertThat(error.path("verdict").asText()).isEqualTo(verdict);
		assertThat(response.headers().firstValue("X-Hemlock-Verdict")).hasValue(verdict);
		List<String> ids = response.headers().allValues("X-Hemlock-Request");
		assertThat(error.path("request_id").asText()).isEqualTo(ids.isEmpty() ? "" : ids.get(0));
	}

	private static CallResult result(String text) {
		return new CallResult(text, new Usage(5, 1, 2), "stop", 200, new byte[0], 1);
	}

}

package org.hemlockgw.remote;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.platform.EngineChunk;
import org.hemlockgw.core.platform.EngineRequest;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.standins.engine.EngineOptions;
import org.hemlockgw.standins.engine.EngineServer;
import org.hemlockgw.standins.engine.EngineText;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.http.StandinHttpServer;

import static com.google.common.truth.Truth.assertThat;

class HttpEngineClientTests {

	private static final List<Message> PROMPT = List.of(new Message("system", "Be brief."),
			new Message("user", "Cue the next line."));

	private static final Duration SHORT_IDLE = Duration.ofMillis(200);

	/** Above the pauses of a busy machine between the tokens ahead of the stall. */
	private static final Duration STALL_IDLE = Duration.ofSeconds(1);

	private static final EngineOptions OPTIONS = new EngineOptions(1e6, 10_000, 8, 10_000, 512, 20, "crash me", true);

	private final EngineServer server = new EngineServer(OPTIONS, TestCalls.ANY_PORT);

	private final List<EngineChunk> chunks = Collections.synchronizedList(new ArrayList<>());

	private HttpEngineClient client;

	@BeforeEach
	void start() {
		this.server.start();
		this.client = new HttpEngineClient(this.server.address(), TestCalls.EXECUTOR);
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	@Test
	void theAnswerIsTheSameByteForByteAndCarriesOffsetsAndUsage() throws Exception {
		EngineChunk last = TestCalls.get(generate("r1", 20));
		assertThat(text()).isEqualTo(expected(0, 20));
		assertThat(this.chunks.get(7).offset()).isEqualTo(7);
		assertThat(last.offset()).isEqualTo(20);
		assertThat(last.finishReason()).isEqualTo("length");
		assertThat(last.usage()).isEqualTo(new Usage(EngineText.tokens(PROMPT), 0, 20));
	}

	@Test
	void theNextTurnFindsThePromptAndTheAnswerInTheCache() throws Exception {
		TestCalls.get(generate("r1", 20));
		List<Message> next = new ArrayList<>(PROMPT);
		next.add(new Message("assistant", text()));
		next.add(new Message("user", "And the next one."));
		EngineChunk last = TestCalls.get(generate(new EngineRequest("r2", "acc/p", "m", next, "", 0, 5, "")));
		assertThat(last.usage()).isEqualTo(new Usage(EngineText.tokens(next), EngineText.tokens(PROMPT) + 20, 5));
	}

	@Test
	void aPartialAnswerIsContinuedAtItsOffset() throws Exception {
		String start = expected(0, 6);
		EngineChunk last = TestCalls.get(generate(new EngineRequest("r1", "acc/p", "m", PROMPT, start, 6, 20, "")));
		assertThat(text()).isEqualTo(expected(6, 20));
		assertThat(this.chunks.get(0).offset()).isEqualTo(6);
		assertThat(last.usage()).isEqualTo(new Usage(EngineText.tokens(PROMPT) + 6, 0, 14));
	}

	@Test
	void aSilentConnectionFailsAndItsStreamIsResumedOnANewOne() throws Exception {
		this.server.set("{\"stall_streams\":1,\"stall_after_tokens\":3}");
		CompletableFuture<EngineChunk> stalled = this.client.generate(request("r1", 20), STALL_IDLE, this.chunks::add);
		assertFailure(stalled, Verdict.MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED);
		assertThat(text()).isEqualTo(expected(0, 3));
		TestCalls.get(this.client.resume("r1", 3, TestCalls.LIMIT, this.chunks::add));
		assertThat(text()).isEqualTo(expected(0, 20));
	}

	@Test
	void anUnknownStreamIsNotFound() throws Exception {
		assertThat(TestCalls.failure(this.client.resume("none", 0, TestCalls.LIMIT, this.chunks::add)).code())
			.isEqualTo(ErrorCode.NOT_FOUND);
		TestCalls.get(generate("r1", 2));
		this.server.set("{\"resumable\":false}");
		assertThat(TestCalls.failure(this.client.resume("r1", 0, TestCalls.LIMIT, this.chunks::add)).code())
			.isEqualTo(ErrorCode.NOT_FOUND);
	}

	@Test
	void aMarkedRequestCutsTheOthersRefusesConnectionsAndEmptiesTheCache() throws Exception {
		TestCalls.get(generate("r0", 2));
		this.server.set("{\"speed_factor\":0.01}");
		CompletableFuture<EngineChunk> other = generate("r1", 1000);
		TestCalls.await(() -> this.server.stats().running() == 1);
		this.server.set("{\"restart_ms\":2000}");
		List<Message> marked = List.of(new Message("user", "please crash me now"));
		assertFailure(generate(new EngineRequest("r2", "acc/q", "m", marked, "", 0, 5, "")), Verdict.MAY_HAVE_RUN,
				ErrorCode.BACKEND_FAILED);
		assertFailure(other, Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED);
		assertFailure(generate("r3", 2), Verdict.NOT_RUN, ErrorCode.BACKEND_UNAVAILABLE);
		TestCalls.await(this::answers);
		assertThat(TestCalls.get(this.client.listSessions())).isEmpty();
	}

	@Test
	void aMuteEngineIsDetectedByTheIdleLimit() throws Exception {
		this.server.set("{\"mute\":true}");
		CompletableFuture<EngineChunk> call = this.client.generate(request("r1", 2), SHORT_IDLE, this.chunks::add);
		assertFailure(call, Verdict.MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED);
		this.server.set("{\"mute\":false}");
		TestCalls.get(generate("r2", 2));
	}

	@Test
	void aRefusingEngineDidNotRunTheRequest() throws Exception {
		this.server.set("{\"refuse\":true}");
		assertFailure(generate("r1", 2), Verdict.NOT_RUN, ErrorCode.BACKEND_UNAVAILABLE);
		assertThat(this.server.stats().requestsAdmitted()).isEqualTo(0);
	}

	@Test
	void theSpeedFactorSlowsTheEngine() throws Exception {
		this.server.set("{\"speed_factor\":0.1}");
		long start = System.nanoTime();
		TestCalls.get(generate("r1", 51));
		// 50 decode steps of 1 ms follow the first token.
		assertThat(Duration.ofNanos(System.nanoTime() - start)).isAtLeast(Duration.ofMillis(50));
	}

	@Test
	void aCancelledStreamEndsAndIsForgotten() throws Exception {
		this.server.set("{\"speed_factor\":0.01}");
		CompletableFuture<EngineChunk> call = generate("r1", 1000);
		TestCalls.await(() -> this.server.stats().running() == 1);
		TestCalls.get(this.client.cancel("r1"));
		assertFailure(call, Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED);
		assertThat(this.server.stats().running()).isEqualTo(0);
		assertThat(TestCalls.failure(this.client.cancel("r1")).code()).isEqualTo(ErrorCode.NOT_FOUND);
	}

	@Test
	void cancellingTheFutureFreesItsThreadWhileTheStreamGoesOn() throws Exception {
		this.server.set("{\"stall_streams\":1,\"stall_after_tokens\":0}");
		CompletableFuture<EngineChunk> call = generate("r1", 20);
		TestCalls.await(() -> this.server.stats().requestsFinished() == 1);
		call.cancel(true);
		TestCalls.get(this.client.resume("r1", 0, TestCalls.LIMIT, this.chunks::add));
		assertThat(text()).isEqualTo(expected(0, 20));
	}

	@Test
	void aLostReleaseLeavesTheSessionUntilItIsRepeated() throws Exception {
		TestCalls.get(generate("r1", 2));
		this.server.set("{\"lose_releases\":1}");
		TestCalls.get(this.client.releaseSession("acc/p", 1));
		assertThat(TestCalls.get(this.client.listSessions())).containsExactly("acc/p");
		TestCalls.get(this.client.releaseSession("acc/p", 1));
		assertThat(TestCalls.get(this.client.listSessions())).isEmpty();
	}

	@Test
	void anOldFencingNumberIsRejectedOnlyWhenTheEngineChecksIt() throws Exception {
		TestCalls.get(this.client.sendOrder("role", "draft", 5));
		assertFailure(this.client.sendOrder("role", "main", 4), Verdict.NOT_RUN, ErrorCode.NOT_OWNER);
		assertFailure(this.client.releaseSession("acc/p", 4), Verdict.NOT_RUN, ErrorCode.NOT_OWNER);
		this.server.set("{\"checks_fencing\":false}");
		TestCalls.get(this.client.sendOrder("role", "main", 4));
	}

	@Test
	void exportAndImportMoveASession() throws Exception {
		TestCalls.get(generate("r1", 4));
		long tokens = TestCalls.get(this.client.exportSession("acc/p"));
		assertThat(tokens).isEqualTo(EngineText.tokens(PROMPT) + 4);
		TestCalls.get(this.client.importSession("acc/new", tokens));
		assertThat(TestCalls.get(this.client.listSessions())).containsExactly("acc/p", "acc/new");
		assertThat(TestCalls.failure(this.client.exportSession("none")).code()).isEqualTo(ErrorCode.NOT_FOUND);
		assertThat(TestCalls.failure(this.client.importSession("acc/big", 10_001)).code())
			.isEqualTo(ErrorCode.BACKEND_FAILED);
	}

	@Test
	void cacheEventsComeLateAndWithGaps() throws Exception {
		this.server.set("{\"cache_event_gap_every\":2}");
		for (int i = 0; i < 4; i++) {
			TestCalls.get(this.client.importSession("acc/" + i, 10));
		}
		assertThat(TestCalls.get(this.client.fetchCacheEvents(0)).events().stream().map((e) -> e.session()))
			.containsExactly("acc/0", "acc/2")
			.inOrder();
		assertThat(TestCalls.get(this.client.fetchCacheEvents(0)).next()).isEqualTo(4);
		this.server.set("{\"cache_event_gap_every\":0,\"cache_event_delay_ms\":3600000}");
		TestCalls.get(this.client.importSession("acc/late", 10));
		assertThat(TestCalls.get(this.client.fetchCacheEvents(4)).events()).isEmpty();
		this.server.set("{\"cache_event_delay_ms\":0}");
		assertThat(TestCalls.get(this.client.fetchCacheEvents(4)).events()).hasSize(1);
	}

	@Test
	void theLoadReportLags() throws Exception {
		this.server.set("{\"load_lag_ms\":3600000}");
		TestCalls.get(this.client.importSession("acc/p", 10));
		assertThat(TestCalls.get(this.client.fetchLoad()).cachedTokens()).isEqualTo(0);
		this.server.set("{\"load_lag_ms\":0}");
		assertThat(TestCalls.get(this.client.fetchLoad()).cachedTokens()).isEqualTo(10);
		assertThat(TestCalls.get(this.client.fetchLoad()).cacheCapacityTokens()).isEqualTo(10_000);
	}

	@ParameterizedTest
	@CsvSource({ "400,MAY_HAVE_RUN,BAD_REQUEST", "429,NOT_RUN,OVERLOADED", "500,MAY_HAVE_RUN,BACKEND_FAILED",
			"503,MAY_HAVE_RUN,BACKEND_FAILED" })
	void anErrorStatusIsNotRunOnlyWhenTheEngineSaysSo(int status, Verdict verdict, ErrorCode code) throws Exception {
		try (StandinHttpServer failing = new StandinHttpServer(TestCalls.ANY_PORT, (exchange) -> {
			throw new HttpRejection(status, "failing on purpose");
		})) {
			failing.start();
			this.client = new HttpEngineClient(failing.address(), TestCalls.EXECUTOR);
			assertFailure(generate("r1", 2), verdict, code);
		}
	}

	@Test
	void aStreamWithoutItsLastEventIsNotAnAnswer() throws Exception {
		try (StandinHttpServer cut = new StandinHttpServer(TestCalls.ANY_PORT,
				(exchange) -> exchange.respondEvents((out) -> {
				}))) {
			cut.start();
			this.client = new HttpEngineClient(cut.address(), TestCalls.EXECUTOR);
			assertFailure(generate("r1", 2), Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED);
		}
	}

	private boolean answers() {
		return this.client.fetchLoad().handle((report, thrown) -> thrown == null).join();
	}

	private CompletableFuture<EngineChunk> generate(String id, int maxTokens) {
		return generate(request(id, maxTokens));
	}

	private CompletableFuture<EngineChunk> generate(EngineRequest request) {
		return this.client.generate(request, TestCalls.LIMIT, this.chunks::add);
	}

	private String text() {
		StringBuilder text = new StringBuilder();
		this.chunks.forEach((chunk) -> text.append(chunk.text()));
		return text.toString();
	}

	private static EngineRequest request(String id, int maxTokens) {
		return new EngineRequest(id, "acc/p", "m", PROMPT, "", 0, maxTokens, "");
	}

	private static String expected(long from, long to) {
		return EngineText.answer(EngineText.digest(PROMPT), from, to);
	}

	private static void assertFailure(CompletableFuture<?> call, Verdict verdict, ErrorCode code) throws Exception {
		CallFailure failure = TestCalls.failure(call);
		assertThat(failure.code()).isEqualTo(code);
		assertThat(failure.verdict()).isEqualTo(verdict);
	}

}

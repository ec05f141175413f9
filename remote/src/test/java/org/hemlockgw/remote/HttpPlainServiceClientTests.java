package org.hemlockgw.remote;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.platform.ServiceResponse;
import org.hemlockgw.standins.http.StandinHttpServer;
import org.hemlockgw.standins.service.PlainServer;
import org.hemlockgw.standins.service.ServiceOptions;

import static com.google.common.truth.Truth.assertThat;

class HttpPlainServiceClientTests {

	private static final byte[] BODY = "{}".getBytes(StandardCharsets.UTF_8);

	private final PlainServer server = new PlainServer(ServiceOptions.DEFAULT, TestCalls.ANY_PORT);

	private HttpPlainServiceClient client;

	@BeforeEach
	void start() {
		this.server.start();
		this.client = new HttpPlainServiceClient(this.server.address(), TestCalls.EXECUTOR);
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	@Test
	void aCallExecutesOnceAndReturnsTheAnswer() throws Exception {
		ServiceResponse response = TestCalls.get(call("r1"));
		assertThat(response.status()).isEqualTo(200);
		assertThat(new String(response.body(), StandardCharsets.UTF_8)).contains("\"path\":\"orders/reserve\"");
		assertThat(this.server.executions()).containsExactly("r1", 1);
	}

	@Test
	void aCallAfterARestartOfTheServiceStillRuns() throws Exception {
		TestCalls.get(call("r1"));
		String address = this.server.address();
		this.server.close();
		try (PlainServer restarted = new PlainServer(ServiceOptions.DEFAULT, address)) {
			restarted.start();
			TestCalls.get(call("r2"));
			assertThat(restarted.executions()).containsExactly("r2", 1);
		}
	}

	@Test
	void aRefusedCallDidNotRun() throws Exception {
		this.server.set("{\"refuse\":true}");
		assertFailure(call("r1"), Verdict.NOT_RUN, ErrorCode.BACKEND_UNAVAILABLE);
		assertThat(this.server.executions()).isEmpty();
	}

	@Test
	void aRefusedConnectionDidNotRun() throws Exception {
		this.server.close();
		assertFailure(call("r1"), Verdict.NOT_RUN, ErrorCode.BACKEND_UNAVAILABLE);
	}

	@ParameterizedTest
	@CsvSource({ "before,0", "during,1", "after,1" })
	void aBrokenConnectionMayHaveRunWhereverItBreaks(String point, int executions) throws Exception {
		this.server.set("{\"break_at\":\"" + point + "\",\"break_calls\":1}");
		assertFailure(call("r1"), Verdict.MAY_HAVE_RUN, ErrorCode.BACKEND_FAILED);
		Map<String, Integer> expected = (executions > 0) ? Map.of("r1", executions) : Map.of();
		TestCalls.await(() -> this.server.executions().equals(expected));
		TestCalls.get(call("r2"));
	}

	@Test
	void aCallWithoutAnswerInTimeMayHaveRun() throws Exception {
		this.server.set("{\"delay_ms\":800}");
		CompletableFuture<ServiceResponse> late = this.client.call("r1", "orders", BODY, Duration.ofMillis(400));
		assertFailure(late, Verdict.MAY_HAVE_RUN, ErrorCode.DEADLINE_EXCEEDED);
		TestCalls.await(() -> this.server.executions().equals(Map.of("r1", 1)));
	}

	@Test
	void anAnswerThatTricklesInDoesNotOutliveTheTimeout() throws Exception {
		try (StandinHttpServer slow = new StandinHttpServer(TestCalls.ANY_PORT,
				(exchange) -> exchange.respondEvents((out) -> {
					while (true) {
						out.write('x');
						out.flush();
						pause();
					}
				}))) {
			slow.start();
			HttpPlainServiceClient slowClient = new HttpPlainServiceClient(slow.address(), TestCalls.EXECUTOR);
			assertFailure(slowClient.call("r1", "orders", BODY, Duration.ofMillis(400)), Verdict.MAY_HAVE_RUN,
					ErrorCode.DEADLINE_EXCEEDED);
		}
	}

	@Test
	void aPassedDeadlineDidNotRun() throws Exception {
		assertFailure(this.client.call("r1", "orders", BODY, Duration.ZERO), Verdict.NOT_RUN,
				ErrorCode.DEADLINE_EXCEEDED);
		assertThat(this.server.executions()).isEmpty();
	}

	@Test
	void aPathThatCannotBeSentDidNotRun() throws Exception {
		assertFailure(this.client.call("r1", "a b", BODY, TestCalls.LIMIT), Verdict.NOT_RUN, ErrorCode.BAD_REQUEST);
	}

	@ParameterizedTest
	@CsvSource({ "429,true,NOT_RUN,OVERLOADED", "503,false,NOT_RUN,BACKEND_UNAVAILABLE",
			"503,true,MAY_HAVE_RUN,BACKEND_FAILED", "502,false,MAY_HAVE_RUN,BACKEND_FAILED",
			"504,true,MAY_HAVE_RUN,BACKEND_FAILED" })
	void anErrorStatusIsNotRunOnlyWhenTheServerSaysSo(int status, boolean admitted, Verdict verdict, ErrorCode code)
			throws Exception {
		try (StandinHttpServer failing = new StandinHttpServer(TestCalls.ANY_PORT, (exchange) -> {
			exchange.setHeader("X-Admitted", String.valueOf(admitted));
			exchange.setHeader("Retry-After", "3");
			exchange.respondError(status, "failing on purpose");
		})) {
			failing.start();
			CallFailure failure = assertFailure(new HttpPlainServiceClient(failing.address(), TestCalls.EXECUTOR)
				.call("r1", "x", BODY, TestCalls.LIMIT), verdict, code);
			assertThat(failure.retryAfter()).isEqualTo(Duration.ofSeconds(3));
		}
	}

	@ParameterizedTest
	@CsvSource({ "400", "409", "500" })
	void anErrorOfTheServiceItselfIsItsAnswer(int status) throws Exception {
		try (StandinHttpServer failing = new StandinHttpServer(TestCalls.ANY_PORT,
				(exchange) -> exchange.respondError(status, "no"))) {
			failing.start();
			HttpPlainServiceClient failingClient = new HttpPlainServiceClient(failing.address(), TestCalls.EXECUTOR);
			assertThat(TestCalls.get(failingClient.call("r1", "x", BODY, TestCalls.LIMIT)).status()).isEqualTo(status);
		}
	}

	private CompletableFuture<ServiceResponse> call(String id) {
		return this.client.call(id, "orders/reserve", BODY, TestCalls.LIMIT);
	}

	private static CallFailure assertFailure(CompletableFuture<ServiceResponse> call, Verdict verdict, ErrorCode code)
			throws Exception {
		CallFailure failure = TestCalls.failure(call);
		assertThat(failure.verdict()).isEqualTo(verdict);
		assertThat(failure.code()).isEqualTo(code);
		return failure;
	}

	/** Spacing of the bytes of a slow answer, below the timeout of its reader. */
	private static void pause() throws IOException {
		try {
			Thread.sleep(5);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

}

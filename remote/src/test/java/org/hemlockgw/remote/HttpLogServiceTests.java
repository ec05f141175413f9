package org.hemlockgw.remote;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
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
import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.standins.http.HttpRejection;
import org.hemlockgw.standins.http.StandinHttpServer;
import org.hemlockgw.standins.log.LogOptions;
import org.hemlockgw.standins.log.LogServer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class HttpLogServiceTests {

	private static final byte[] DATA = "record".getBytes(StandardCharsets.UTF_8);

	private final MutableClock clock = new MutableClock();

	private final LogServer server = new LogServer(new LogOptions(0, 0), TestCalls.ANY_PORT, this.clock);

	private HttpLogService log;

	@BeforeEach
	void start() {
		this.server.start();
		this.log = new HttpLogService(this.server.address(), TestCalls.EXECUTOR);
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	@Test
	void offsetsAreContiguousAndRecordsKeepTheirBytes() throws Exception {
		for (long offset = 0; offset < 5; offset++) {
			assertThat(TestCalls.get(this.log.append("s", new byte[] { (byte) offset, -1 }))).isEqualTo(offset);
		}
		LogPage page = read(1, 3, Duration.ZERO);
		assertThat(page.firstOffset()).isEqualTo(0);
		assertThat(page.nextOffset()).isEqualTo(5);
		assertThat(page.records().stream().map((r) -> r.offset())).containsExactly(1L, 2L, 3L).inOrder();
		assertThat(page.records().get(0).data()).isEqualTo(new byte[] { 1, -1 });
		assertThat(page.records().get(0).time()).isEqualTo(this.clock.instant());
	}

	@Test
	void aLongPollEndsWithTheAppendAndNotWithItsTimeout() throws Exception {
		CompletableFuture<LogPage> poll = this.log.read("s", 0, 10, Duration.ofSeconds(60));
		TestCalls.get(this.log.append("s", DATA));
		assertThat(TestCalls.get(poll).records()).hasSize(1);
	}

	@Test
	void manyLongPollsDoNotHoldBackAnAppend() throws Exception {
		List<CompletableFuture<LogPage>> polls = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			polls.add(this.log.read("s", 0, 10, Duration.ofSeconds(60)));
		}
		TestCalls.get(this.log.append("s", DATA));
		for (CompletableFuture<LogPage> poll : polls) {
			assertThat(TestCalls.get(poll).records()).hasSize(1);
		}
	}

	@Test
	void anOutageDoesNotTakeAppendsAndEndsLongPolls() throws Exception {
		TestCalls.get(this.log.append("s", DATA));
		CompletableFuture<LogPage> poll = this.log.read("s", 1, 10, Duration.ofSeconds(60));
		this.server.set("{\"outage\":true}");
		assertUnavailable(TestCalls.failure(this.log.append("s", DATA)), Verdict.NOT_RUN);
		assertUnavailable(TestCalls.failure(poll), Verdict.NOT_RUN);
		this.server.set("{\"outage\":false}");
		assertThat(read(0, 10, Duration.ZERO).nextOffset()).isEqualTo(1);
	}

	@Test
	void anAppendWhoseAnswerIsLostMayHaveRun() throws Exception {
		this.server.set("{\"lose_answers\":1}");
		assertUnavailable(TestCalls.failure(this.log.append("s", DATA)), Verdict.MAY_HAVE_RUN);
		assertThat(TestCalls.get(this.log.append("s", DATA))).isEqualTo(1);
	}

	@Test
	void appendsAboveTheRateDidNotRun() throws Exception {
		this.server.set("{\"appends_per_s\":10}");
		TestCalls.get(this.log.append("s", DATA));
		assertUnavailable(TestCalls.failure(this.log.append("s", DATA)), Verdict.NOT_RUN);
		this.clock.advanceMillis(100);
		assertThat(TestCalls.get(this.log.append("s", DATA))).isEqualTo(1);
	}

	@Test
	void aReadFromExpiredOffsetsStartsAtTheFirstRetainedOne() throws Exception {
		this.server.set("{\"retention_ms\":1000}");
		TestCalls.get(this.log.append("s", DATA));
		this.clock.advanceMillis(1001);
		TestCalls.get(this.log.append("s", DATA));
		LogPage page = read(0, 10, Duration.ZERO);
		assertThat(page.firstOffset()).isEqualTo(1);
		assertThat(page.records()).hasSize(1);
	}

	@Test
	void theDelayHoldsBackAnswers() throws Exception {
		this.server.set("{\"delay_ms\":50}");
		long start = System.nanoTime();
		TestCalls.get(this.log.append("s", DATA));
		assertThat(Duration.ofNanos(System.nanoTime() - start)).isAtLeast(Duration.ofMillis(50));
	}

	@Test
	void aRefusedConnectionDidNotRun() throws Exception {
		HttpLogService refused = new HttpLogService(TestCalls.refusingAddress(), TestCalls.EXECUTOR);
		assertUnavailable(TestCalls.failure(refused.append("s", DATA)), Verdict.NOT_RUN);
		assertUnavailable(TestCalls.failure(refused.read("s", 0, 1, Duration.ZERO)), Verdict.NOT_RUN);
	}

	@ParameterizedTest
	@CsvSource({ "400,MAY_HAVE_RUN", "429,NOT_RUN", "500,MAY_HAVE_RUN", "502,MAY_HAVE_RUN", "503,NOT_RUN" })
	void onlyThrottlingAndOutageProveThatAnAppendDidNotRun(int status, Verdict verdict) throws Exception {
		try (StandinHttpServer failing = new StandinHttpServer(TestCalls.ANY_PORT, (exchange) -> {
			throw new HttpRejection(status, "failing on purpose");
		})) {
			failing.start();
			HttpLogService client = new HttpLogService(failing.address(), TestCalls.EXECUTOR);
			assertUnavailable(TestCalls.failure(client.append("s", DATA)), verdict);
		}
	}

	@Test
	void aRestartOfTheLogBetweenTwoAppendsIsNotSeenOnPooledConnections() throws Exception {
		TestCalls.get(this.log.append("s", DATA));
		String address = this.server.address();
		this.server.close();
		try (LogServer restarted = new LogServer(new LogOptions(0, 0), address)) {
			restarted.start();
			assertThat(TestCalls.get(this.log.append("s", DATA))).isEqualTo(0);
		}
	}

	private LogPage read(long from, int max, Duration wait) throws Exception {
		return TestCalls.get(this.log.read("s", from, max, wait));
	}

	private static void assertUnavailable(CallFailure failure, Verdict verdict) {
		assertWithMessage(String.valueOf(failure.getMessage())).that(failure.verdict()).isEqualTo(verdict);
		assertThat(failure.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
	}

}

package org.hemlockgw.systemtest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a non-idempotent call that runs twice (G7) and against a verdict "not
 * run" for a call that ran (G6). The service's execution count is the judge.
 */
class AtMostOnceTests {

	private static TestSystem system;

	private static int programs;

	private final Caller caller = new Caller(TestSystem.KEY_A);

	private String program = "";

	@BeforeAll
	static void startSystem() throws Exception {
		system = TestSystem.start(4, TestSystem.engine());
	}

	@AfterAll
	static void stopSystem() throws Exception {
		system.close();
	}

	@BeforeEach
	void openProgram() {
		system.service.set("{\"delay_ms\":0,\"refuse\":false,\"break_at\":\"none\",\"break_calls\":0}");
		system.log.set("{\"outage\":false,\"lose_answers\":0,\"delay_ms\":0}");
		this.program = "once" + programs++;
		this.caller.openWhenReady(system.callers(), this.program, 100_000);
	}

	@Test
	void sameRequestAtOnceThroughAllDaemonsRunsOnce() {
		system.service.set("{\"delay_ms\":200}");
		List<CompletableFuture<Answer>> calls = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			List<String> addresses = system.callers();
			calls.add(this.caller.serviceAsync(addresses.get(i % addresses.size()), this.program, key("dup"), 0, "svc",
					false));
		}
		calls.forEach((call) -> assertThat(call.join().verdict()).isEqualTo("RAN"));
		assertThat(executions(key("dup"))).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource({ "before, 0, MAY_HAVE_RUN", "during, 1, MAY_HAVE_RUN", "after, 1, MAY_HAVE_RUN" })
	void brokenServiceConnectionIsNeverRepeated(String breakAt, int executed, String verdict) {
		system.service.set("{\"break_at\":\"" + breakAt + "\",\"break_calls\":1}");
		String key = key(breakAt);
		Answer first = this.caller.service(system.callers().get(0), this.program, key, 0, "svc", false);
		Answer repeated = this.caller.service(system.callers().get(1), this.program, key, 0, "svc", false);
		assertThat(first.verdict()).isEqualTo(verdict);
		assertThat(repeated.verdict()).isEqualTo(verdict);
		assertThat(executions(key)).isEqualTo(executed);
	}

	@Test
	void refusedCallIsNotRunAndMayRunLater() {
		system.service.set("{\"refuse\":true}");
		Answer refused = this.caller.service(system.callers().get(0), this.program, key("refused"), 0, "svc", false);
		assertThat(refused.verdict()).isEqualTo("NOT_RUN");
		assertThat(executions(key("refused"))).isEqualTo(0);
		system.service.set("{\"refuse\":false}");
		Answer later = this.caller.service(system.callers().get(0), this.program, key("later"), 0, "svc", false);
		assertThat(later.verdict()).isEqualTo("RAN");
	}

	@Test
	void lostAppendAnswersDoNotRepeatTheCall() {
		for (int i = 0; i < 5; i++) {
			system.log.set("{\"lose_answers\":2}");
			String key = key("lost" + i);
			Answer answer = this.caller.service(system.callers().get(i % 3), this.program, key, 0, "svc", false);
			assertThat(executions(key)).isEqualTo(answer.verdict().equals("RAN") ? 1 : 0);
		}
	}

	@Test
	void logOutageRefusesWithoutRunning() {
		system.log.set("{\"outage\":true}");
		Answer refused = this.caller.service(system.callers().get(0), this.program, key("outage"), 0, "svc", false);
		assertThat(refused.verdict()).isEqualTo("NOT_RUN");
		assertThat(executions(key("outage"))).isEqualTo(0);
		system.log.set("{\"outage\":false}");
		Await.until("calls run again after the outage", Duration.ofSeconds(20),
				() -> this.caller.service(system.callers().get(0), this.program, key("after"), 0, "svc", false)
					.verdict()
					.equals("RAN"));
		assertThat(executions(key("outage"))).isEqualTo(0);
	}

	@Test
	void pausedOwnerThatWakesUpDoesNotRepeatTheCall() throws Exception {
		this.caller.service(system.callers().get(0), this.program, key("first"), 0, "svc", false);
		DaemonProcess owner = system.ownerOf(key("first"));
		String other = system.callers().stream().filter((a) -> !a.equals(owner.caller())).findFirst().orElseThrow();
		system.service.set("{\"delay_ms\":1500}");
		CompletableFuture<Answer> running = this.caller.serviceAsync(other, this.program, key("paused"), 0, "svc",
				false);
		Await.until("the intent is written and the call sent", Duration.ofSeconds(10),
				() -> system.get(owner.admin(), "/explain/" + key("paused")).body().contains("owner"));
		owner.pause();
		try {
			Await.until("a successor answers for the program", Duration.ofSeconds(30), () -> {
				Answer answer = this.caller.service(other, this.program, key("paused"), 0, "svc", false);
				return answer.verdict().equals("MAY_HAVE_RUN") || answer.verdict().equals("RAN");
			});
		}
		finally {
			owner.resume();
		}
		running.get(60, TimeUnit.SECONDS);
		Answer last = this.caller.service(other, this.program, key("paused"), 0, "svc", false);
		assertThat(last.verdict()).isNotEqualTo("NOT_RUN");
		assertThat(executions(key("paused"))).isAtMost(1);
	}

	private String key(String name) {
		return this.program + "-" + name;
	}

	private static int executions(String key) {
		return system.service.executions()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().contains(key))
			.mapToInt((entry) -> entry.getValue())
			.sum();
	}

}

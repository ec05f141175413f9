package org.hemlockgw.systemtest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.core.program.Message;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against cut answers when engines or their connections fail (G5), work on a
 * leaving engine (G8), engine memory held for ended programs (G4), and a request that
 * crashes engine after engine.
 */
class EngineFaultTests {

	private final Caller caller = new Caller(TestSystem.KEY_A);

	@ParameterizedTest
	@ValueSource(strings = { "silent", "cut", "crash", "stall" })
	void wholeAnswerWhenTheStreamBreaks(String fault) throws Exception {
		try (TestSystem system = TestSystem.start(2, TestSystem.engine(), TestSystem.engine())) {
			this.caller.openWhenReady(system.callers(), "p1", 100_000);
			List<Message> messages = List.of(new Message("user", "tell me more"));
			CountDownLatch streaming = new CountDownLatch(10);
			if (fault.equals("stall")) {
				system.engines.values().forEach((e) -> e.set("{\"stall_streams\":1,\"stall_after_tokens\":20}"));
			}
			CompletableFuture<Answer> answer = this.caller.turnAsync(system.callers().get(0), "p1", "k", 0, messages,
					200, (text) -> streaming.countDown());
			assertThat(streaming.await(30, TimeUnit.SECONDS)).isTrue();
			switch (fault) {
				case "silent" -> system.relay(system.servingEngine()).silenceOpenConnections();
				case "cut" -> system.relay(system.servingEngine()).cutOpenConnections();
				case "crash" -> system.engineServer(system.servingEngine()).crash();
				default -> {
				}
			}
			assertThat(answer.get(60, TimeUnit.SECONDS).text()).isEqualTo(TestSystem.expected(messages, 200));
			assertThat(answer.get().ok()).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "configuration", "vm_list" })
	void leavingEngineGetsNoNewWorkAfterFiveSeconds(String how) throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine())) {
			List<CompletableFuture<Integer>> load = startLoad(system, 12, Duration.ofSeconds(14));
			Await.until("both engines have work", Duration.ofSeconds(20),
					() -> system.engines.values().stream().allMatch((e) -> e.stats().requestsAdmitted() > 3));
			if (how.equals("configuration")) {
				system.patch(1, "{\"backend_servers\":{\"e1\":{\"leaving\":true}}}");
			}
			else {
				system.vmList.set("{\"lag_ms\":1000}");
				system.leaving("e1");
			}
			// The bound of the design: 5 s after the VM list or the configuration shows
			// it.
			Thread.sleep(how.equals("configuration") ? 5_000 : 6_000);
			long admitted = system.engineServer("e1").stats().requestsAdmitted();
			int failed = load.stream().mapToInt(CompletableFuture::join).sum();
			assertThat(system.engineServer("e1").stats().requestsAdmitted()).isEqualTo(admitted);
			assertThat(failed).isEqualTo(0);
		}
	}

	@Test
	void crashingRequestStopsAfterTwoEnginesAndInnocentOnesFinish() throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine(), TestSystem.engine(),
				TestSystem.engine())) {
			system.engines.values().forEach((e) -> e.set("{\"crash_marker\":\"poison\"}"));
			List<CompletableFuture<Answer>> innocent = new ArrayList<>();
			for (int i = 0; i < 8; i++) {
				this.caller.openWhenReady(system.callers(), "good" + i, 100_000);
				innocent.add(this.caller.turnAsync(system.callers().get(i % 3), "good" + i, "g" + i, 0,
						List.of(new Message("user", "innocent " + i)), 150, (text) -> {
						}));
			}
			this.caller.openWhenReady(system.callers(), "bad", 100_000);
			List<Message> poison = List.of(new Message("user", "poison"));
			Answer first = this.caller.turn(system.callers().get(0), "bad", "b1", poison, 10);
			assertThat(first.ok()).isFalse();
			long crashes = crashes(system);
			assertThat(crashes).isAtMost(2);
			this.caller.openWhenReady(system.callers(), "bad2", 100_000);
			for (int i = 0; i < 3; i++) {
				Answer again = this.caller.turn(system.callers().get(i), "bad2", "other" + i, poison, 10);
				assertThat(again.verdict()).isEqualTo("NOT_RUN");
				assertThat(again.code()).isEqualTo("quarantined");
			}
			assertThat(crashes(system)).isEqualTo(crashes);
			for (int i = 0; i < innocent.size(); i++) {
				assertThat(innocent.get(i).get(60, TimeUnit.SECONDS).text())
					.isEqualTo(TestSystem.expected(List.of(new Message("user", "innocent " + i)), 150));
			}
		}
	}

	private static long crashes(TestSystem system) {
		return system.engines.values().stream().mapToLong((e) -> e.crashes()).sum();
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void cacheOfEndedProgramsIsReleased(boolean killOwner) throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine())) {
			system.engines.values().forEach((e) -> e.set("{\"lose_releases\":2,\"cache_event_gap_every\":2}"));
			for (int i = 0; i < 4; i++) {
				this.caller.openWhenReady(system.callers(), "p" + i, 100_000);
				this.caller.turnUntilAnswered(system.callers(), "p" + i, "t" + i,
						List.of(new Message("user", "hold " + i)), 10);
			}
			assertThat(heldTokens(system)).isGreaterThan(0);
			DaemonProcess owner = system.ownerOf("t0");
			for (int i = 0; i < 4; i++) {
				assertThat(this.caller.end(system.callers().get(i % 3), "p" + i).ok()).isTrue();
			}
			if (killOwner) {
				owner.kill();
			}
			// The sweep of the dispatcher runs every 30 s and takes over from a lost
			// owner.
			Await.until("no cache is held", Duration.ofSeconds(75), () -> heldTokens(system) == 0);
		}
	}

	private static long heldTokens(TestSystem system) {
		return system.engines.values().stream().mapToLong((e) -> e.stats().heldTokens()).sum();
	}

	private List<CompletableFuture<Integer>> startLoad(TestSystem system, int programs, Duration length) {
		List<CompletableFuture<Integer>> load = new ArrayList<>();
		for (int i = 0; i < programs; i++) {
			String name = "load" + i;
			this.caller.openWhenReady(system.callers(), name, 1_000_000);
			load.add(Caller.async(() -> Load.run(system, this.caller, name, length)));
		}
		return load;
	}

}

package org.hemlockgw.systemtest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.hemlockgw.core.program.Message;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that a planned stop cuts (G9).
 */
class ShutdownTests {

	@Test
	void stoppingEachDaemonInTurnCutsNoRequest() throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine())) {
			Caller caller = new Caller(TestSystem.KEY_A);
			List<CompletableFuture<Integer>> load = new ArrayList<>();
			for (int i = 0; i < 8; i++) {
				String name = "load" + i;
				caller.openWhenReady(system.callers(), name, 1_000_000);
				load.add(Caller.async(() -> Load.run(system, caller, name, Duration.ofSeconds(40))));
			}
			caller.openWhenReady(system.callers(), "long", 1_000_000);
			List<Message> messages = List.of(new Message("user", "a very long answer"));
			List<CompletableFuture<Answer>> streams = new ArrayList<>();
			for (int i = 1; i <= 3; i++) {
				DaemonProcess stopped = system.daemon("d" + i);
				String program = "long" + i;
				caller.openWhenReady(system.callers(), program, 1_000_000);
				streams.add(caller.turnAsync(stopped.caller(), program, "stream" + i, 0, messages, 600, (text) -> {
				}));
				Await.until("the stream runs", Duration.ofSeconds(10),
						() -> system.get(stopped.admin(), "/explain/stream" + stopped.name().substring(1))
							.body()
							.contains("entry"));
				assertThat(stopped.stopGracefully()).isEqualTo(0);
				system.vmList.remove(stopped.name());
				system.add("n" + i);
			}
			for (CompletableFuture<Answer> stream : streams) {
				Answer answer = stream.get(60, TimeUnit.SECONDS);
				assertThat(answer.ok()).isTrue();
				assertThat(answer.text()).isEqualTo(TestSystem.expected(messages, 600));
			}
			assertThat(load.stream().mapToInt(CompletableFuture::join).sum()).isEqualTo(0);
		}
	}

}

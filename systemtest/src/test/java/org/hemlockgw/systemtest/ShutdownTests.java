package org.hemlockgw.systemtest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.hemlockgw.core.program.Message;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against requests that a planned stop cuts (G9).
 */
class ShutdownTests {

	@Test
	void programsOfAStoppingDaemonGoOnElsewhereWhileItsLongStreamEnds() throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine())) {
			Caller caller = new Caller(TestSystem.KEY_A);
			DaemonProcess stopped = system.daemon("d1");
			List<String> owned = programsOf(system, caller, stopped);
			assertThat(owned.size()).isAtLeast(2);
			List<Message> messages = List.of(new Message("user", "first"),
					new Message("assistant", TestSystem.expected(List.of(new Message("user", "first")), 5)),
					new Message("user", "a very long answer"));
			String other = system.daemon("d2").caller();
			CountDownLatch streaming = new CountDownLatch(5);
			CompletableFuture<Answer> stream = caller.turnAsync(other, owned.get(0), "long", 0, messages, 6_000,
					(text) -> streaming.countDown());
			assertThat(streaming.await(20, TimeUnit.SECONDS)).isTrue();
			CompletableFuture<Integer> exit = Caller.async(stopped::stopGracefully);
			Await.until("only the shard of the stream is left", Duration.ofSeconds(20),
					() -> system.shardsOf(stopped, system.daemon("d2")) == 1);
			// Bound: no program waits longer for a planned stop than for a leaving
			// backend server.
			for (String program : owned.subList(1, owned.size())) {
				Await.until(program + " is answered elsewhere", Duration.ofSeconds(5),
						() -> caller.turn(other, program, program + "-next", messages, 5).ok());
			}
			assertThat(stream.isDone()).isFalse();
			assertThat(stream.get(60, TimeUnit.SECONDS).text()).isEqualTo(TestSystem.expected(messages, 6_000));
			assertThat(exit.get(60, TimeUnit.SECONDS)).isEqualTo(0);
		}
	}

	private static List<String> programsOf(TestSystem system, Caller caller, DaemonProcess owner) {
		List<String> owned = new ArrayList<>();
		for (int i = 0; i < 16 && owned.size() < 4; i++) {
			String program = "p" + i;
			caller.openWhenReady(system.callers(), program, 1_000_000);
			caller.turnUntilAnswered(system.callers(), program, program + "-first",
					List.of(new Message("user", "first")), 5);
			if (system.ownerOf(program + "-first") == owner) {
				owned.add(program);
			}
		}
		return owned;
	}

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

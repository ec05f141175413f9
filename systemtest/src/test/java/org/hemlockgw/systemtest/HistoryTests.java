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
 * Guards against lost, shortened or mixed histories (G2) and answers that are cut or
 * belong to another request (G5), when daemons die between turns and during a stream.
 */
class HistoryTests {

	@Test
	void sameProgramNameUnderTwoAccountsNeverMixes() throws Exception {
		try (TestSystem system = TestSystem.start(2, TestSystem.engine())) {
			Caller a = new Caller(TestSystem.KEY_A);
			Caller b = new Caller(TestSystem.KEY_B);
			a.openWhenReady(system.callers(), "same", 100_000);
			b.openWhenReady(system.callers(), "same", 100_000);
			List<Message> ofA = history(a, system, List.of("secret of a", "next of a"));
			List<Message> ofB = history(b, system, List.of("secret of b", "next of b"));
			assertThat(ofA.get(3).content()).isEqualTo(TestSystem.expected(ofA.subList(0, 3), 10));
			assertThat(ofB.get(3).content()).isEqualTo(TestSystem.expected(ofB.subList(0, 3), 10));
			assertThat(new Caller("wrong").turn(system.callers().get(0), "same", "x", ofA, 10).status()).isEqualTo(401);
			Answer mixed = b.turn(system.callers().get(0), "same", "y", ofA, 10);
			assertThat(mixed.verdict()).isEqualTo("NOT_RUN");
			assertThat(mixed.code()).isEqualTo("history_mismatch");
		}
	}

	private static List<Message> history(Caller caller, TestSystem system, List<String> texts) {
		List<Message> history = new ArrayList<>();
		for (String text : texts) {
			history.add(new Message("user", text));
			Answer answer = caller.turnUntilAnswered(system.callers(), "same", text.replace(' ', '-'), history, 10);
			history.add(new Message("assistant", answer.text()));
		}
		return history;
	}

	@Test
	void ownerKilledBetweenTurnsLosesNoTurn() throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine())) {
			Caller caller = new Caller(TestSystem.KEY_A);
			caller.openWhenReady(system.callers(), "p1", 100_000);
			List<Message> history = new ArrayList<>();
			for (int turn = 1; turn <= 3; turn++) {
				history.add(new Message("user", "turn " + turn));
				Answer answer = caller.turn(system.callers().get(turn % 3), "p1", "t" + turn, turn, history, 10,
						(text) -> {
						});
				assertThat(answer.text()).isEqualTo(TestSystem.expected(history, 10));
				history.add(new Message("assistant", answer.text()));
			}
			system.ownerOf("t3").kill();
			Message next = new Message("user", "turn 4");
			Answer[] answer = new Answer[1];
			Await.until("turn 4 continues the stored history", Duration.ofSeconds(60), () -> {
				answer[0] = caller.append(system.callers().get(0), "p1", "t4", 4, next, 10);
				return answer[0].ok();
			});
			history.add(next);
			assertThat(answer[0].text()).isEqualTo(TestSystem.expected(history, 10));
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "entry", "owner", "dispatcher" })
	void wholeAnswerWhenARoleDiesMidStream(String role) throws Exception {
		try (TestSystem system = TestSystem.start(4, TestSystem.engine(), TestSystem.engine())) {
			Caller caller = new Caller(TestSystem.KEY_A);
			caller.openWhenReady(system.callers(), "p1", 100_000);
			List<Message> messages = List.of(new Message("user", "a long answer please"));
			CountDownLatch streaming = new CountDownLatch(10);
			DaemonProcess entry = system.daemon("d1");
			CompletableFuture<Answer> first = caller.turnAsync(entry.caller(), "p1", "long", 0, messages, 300,
					(text) -> streaming.countDown());
			assertThat(streaming.await(30, TimeUnit.SECONDS)).isTrue();
			DaemonProcess victim = switch (role) {
				case "entry" -> entry;
				case "owner" -> system.ownerOf("long");
				default -> system.dispatcherOf(system.servingEngine());
			};
			victim.kill();
			Answer interrupted = first.get(60, TimeUnit.SECONDS);
			String whole = TestSystem.expected(messages, 300);
			assertThat(whole).startsWith(interrupted.text());
			Answer answer = interrupted.ok() ? interrupted
					: caller.turnUntilAnswered(system.callers(), "p1", "long", messages, 300);
			assertThat(answer.text()).isEqualTo(whole);
		}
	}

}

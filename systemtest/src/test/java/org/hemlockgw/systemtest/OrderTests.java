package org.hemlockgw.systemtest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.core.program.Message;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the order of a program's calls (G1) and its history (G2) when steps arrive out
 * of order through different daemons, with and without the death of the owner in between.
 */
class OrderTests {

	private static final int STEPS = 8;

	private static final int TOKENS = 12;

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void stepsRunInTheProgramsOrder(boolean killOwner) throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine())) {
			Caller caller = new Caller(TestSystem.KEY_A);
			caller.openWhenReady(system.callers(), "p1", 100_000);
			List<Integer> order = new ArrayList<>();
			for (int step = 1; step <= STEPS; step++) {
				order.add(step);
			}
			Collections.shuffle(order, new Random(11));
			List<CompletableFuture<String>> answers = new ArrayList<>(
					Collections.nCopies(STEPS + 1, CompletableFuture.completedFuture("")));
			for (int step : order) {
				answers.set(step, Caller.async(() -> repeatUntilAnswered(system, caller, step)));
			}
			if (killOwner) {
				answers.get(3).join();
				system.ownerOf("step-1").kill();
			}
			List<Message> history = new ArrayList<>();
			for (int step = 1; step <= STEPS; step++) {
				history.add(new Message("user", "message " + step));
				String expected = TestSystem.expected(history, TOKENS);
				assertThat(answers.get(step).join()).isEqualTo(expected);
				history.add(new Message("assistant", expected));
			}
		}
	}

	private static String repeatUntilAnswered(TestSystem system, Caller caller, int step) {
		Answer[] last = new Answer[1];
		int[] tries = { step };
		Await.until("step " + step + " is answered", Duration.ofSeconds(60), () -> {
			List<String> addresses = system.callers();
			last[0] = caller.append(addresses.get(tries[0]++ % addresses.size()), "p1", "step-" + step, step,
					new Message("user", "message " + step), TOKENS);
			return last[0].ok();
		});
		return last[0].text();
	}

}

package org.hemlockgw.systemtest;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.hemlockgw.core.program.Message;

/**
 * A program that makes turn after turn and counts wrong or failed answers.
 */
final class Load {

	private static final int TOKENS = 40;

	private Load() {
	}

	/**
	 * Runs a program that is open already. A call that a stopping daemon refuses as not
	 * run, or whose connection it refuses, goes to the next daemon, as a balancer would
	 * do.
	 * @param system the system
	 * @param caller the caller
	 * @param program the program
	 * @param length how long
	 * @return failed or wrong answers
	 */
	static int run(TestSystem system, Caller caller, String program, Duration length) {
		Instant end = Instant.now().plus(length);
		List<Message> history = new ArrayList<>();
		int failed = 0;
		for (int turn = 0; Instant.now().isBefore(end); turn++) {
			history.add(new Message("user", program + " turn " + turn));
			Answer answer = call(system, caller, program, program + "-t" + turn, history);
			if (!answer.ok() || !answer.text().equals(TestSystem.expected(history, TOKENS))) {
				failed++;
				System.err.println(program + " turn " + turn + ": " + answer);
				return failed;
			}
			history.add(new Message("assistant", answer.text()));
			if (history.size() > 20) {
				return failed;
			}
		}
		return failed;
	}

	private static Answer call(TestSystem system, Caller caller, String program, String key, List<Message> history) {
		List<String> addresses = system.callers();
		int start = Math.floorMod(key.hashCode(), addresses.size());
		Answer answer = new Answer(0, "", "none", "", 0, false);
		for (int i = 0; i < addresses.size(); i++) {
			answer = caller.turn(addresses.get((start + i) % addresses.size()), program, key, history, TOKENS);
			boolean refused = answer.status() == 0 && answer.text().isEmpty()
					|| answer.code().equals("shutting_down") && answer.verdict().equals("NOT_RUN");
			if (!refused) {
				return answer;
			}
		}
		return answer;
	}

}

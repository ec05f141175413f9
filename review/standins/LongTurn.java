package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Future;

/**
 * A turn that takes longer than the retention of its chain is followed by another one.
 */
final class LongTurn extends Case {

	private static final int PROGRAMS = 6;

	private static final int TIMEOUT_MS = 60_000;

	/** Time that the client waits for a short turn. */
	private static final int SHORT_TIMEOUT_MS = 5000;

	private static final int RETAIN_S = 20;

	private static final int EVENT_MS = 400;

	/** Events of the second turn: 40 s, or 4 s without the long turn. */
	private static final int LONG_EVENTS = 100;

	private static final int SHORT_EVENTS = 10;

	private static final int MAX_TRIES = 5;

	public static void main(String[] args) {
		run(new LongTurn(), args[0]);
	}

	@Override
	void prepare(Cluster cluster) throws Exception {
		cluster.configure(3, Cluster.turnRoute(TIMEOUT_MS, RETAIN_S));
		for (int i = 0; i < 4; i++) {
			cluster.addEngine("i-llm" + i, "huvo11a", "norte-" + "abc".charAt(i % 3), 8).setEventMs(EVENT_MS);
		}
	}

	@Override
	boolean holds(Cluster cluster) throws Exception {
		List<Future<Integer>> programs = new ArrayList<>();
		for (int i = 0; i < PROGRAMS; i++) {
			int number = i;
			programs.add(submit(() -> play(cluster, number)));
		}
		Map<Integer, Integer> statuses = new TreeMap<>();
		await(programs).forEach((status) -> statuses.merge(status, 1, Integer::sum));
		Trace.say("third turns by final status: " + statuses);
		cluster.copyLogs("turn to continue is not found", 3);
		return !statuses.containsKey(404) && !statuses.containsKey(410);
	}

	private int play(Cluster cluster, int number) {
		String program = "program" + number;
		Caller caller = new Caller(port(cluster, number));
		String first = turn(caller, cluster, program, 1, null, 3).id();
		Caller.Answer second = turn(caller, cluster, program, 2, first, this.trouble ? LONG_EVENTS : SHORT_EVENTS);
		if (!second.isSuccess()) {
			throw new IllegalStateException("second turn of " + program + " was answered " + second.status() + " "
					+ second.end());
		}
		Caller.Answer third = turn(caller, cluster, program, 3, second.id(), 3);
		Trace.say(program + ": second turn was answered whole after " + (second.endMs() - second.startMs())
				+ " ms; third turn, " + (third.startMs() - second.endMs()) + " ms later: " + third.status());
		return third.status();
	}

	// A 503 promises that the turn has not run, so it is sent again.
	private static Caller.Answer turn(Caller caller, Cluster cluster, String program, int number, String previous,
			int events) {
		Caller.Answer answer = null;
		for (int attempt = 1; attempt <= MAX_TRIES; attempt++) {
			answer = caller.send("POST", "/pufi791/2f", Caller.turn(program + "-" + number + "-" + attempt, program,
					previous, 1_000_000, events * Engine.EVENT_TOKENS,
					(events == LONG_EVENTS) ? TIMEOUT_MS : SHORT_TIMEOUT_MS), text("input " + number));
			if (answer.status() != 503) {
				break;
			}
			Threads.sleep(300);
		}
		return answer;
	}

}

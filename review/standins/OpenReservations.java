package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/**
 * Programs whose turns run at the same time, each of them longer than the retention, begin
 * further turns before these have ended.
 */
final class OpenReservations extends Case {

	private static final int PROGRAMS = 4;

	private static final int TIMEOUT_MS = 60_000;

	private static final int RETAIN_S = 20;

	private static final int EVENT_MS = 400;

	private static final int LONG_EVENTS = 100;

	private static final int PARALLEL_TURNS = 2;

	private static final int BUDGET_TOKENS = PARALLEL_TURNS * LONG_EVENTS * Engine.EVENT_TOKENS;

	/** Events of the first turns after which the further ones begin. */
	private static final int PAUSE_EVENTS = 92;

	private static final int MAX_TRIES = 5;

	public static void main(String[] args) {
		run(new OpenReservations(), args[0]);
	}

	@Override
	void prepare(Cluster cluster) throws Exception {
		cluster.configure(3, Cluster.turnRoute(TIMEOUT_MS, RETAIN_S));
		for (int i = 0; i < 4; i++) {
			cluster.addEngine("i-llm" + i, "huvo11a", "norte-" + "abc".charAt(i % 3), 8).setEventMs(eventMs());
		}
	}

	// Turns take 40 s, or 4 s without the long turns.
	private long eventMs() {
		return this.trouble ? EVENT_MS : EVENT_MS / 10;
	}

	@Override
	boolean holds(Cluster cluster) throws Exception {
		List<Future<Long>> programs = new ArrayList<>();
		for (int i = 0; i < PROGRAMS; i++) {
			String program = "program" + i;
			programs.add(submit(() -> play(cluster, program)));
		}
		long limit = BUDGET_TOKENS + LONG_EVENTS * Engine.EVENT_TOKENS;
		long broken = await(programs).stream().filter((tokens) -> tokens > limit).count();
		Trace.say(broken + " of " + PROGRAMS + " programs got more than " + limit + " tokens");
		return broken == 0;
	}

	private long play(Cluster cluster, String program) throws Exception {
		List<Future<Long>> turns = new ArrayList<>();
		for (int i = 0; i < 2 * PARALLEL_TURNS; i++) {
			int number = i;
			if (number == PARALLEL_TURNS) {
				Threads.sleep(PAUSE_EVENTS * eventMs());
			}
			turns.add(submit(() -> turn(cluster, program, number)));
		}
		long tokens = await(turns).stream().mapToLong(Long::longValue).sum();
		Trace.say(program + ": budget " + BUDGET_TOKENS + ", tokens handed to the client " + tokens);
		return tokens;
	}

	// Returns the tokens of all events that the client has received.
	private long turn(Cluster cluster, String program, int number) {
		for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
			Caller caller = new Caller(port(cluster, number + attempt));
			Caller.Answer answer = caller.send("POST", "/pufi791/2f", Caller.turn(program + "-" + number + "-" + attempt,
					program, null, BUDGET_TOKENS, LONG_EVENTS * Engine.EVENT_TOKENS, TIMEOUT_MS), text("input " + number));
			if (answer.status() != 503) {
				String events = new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
				return Engine.EVENT_TOKENS * events.lines().filter((line) -> line.startsWith("data:")).count();
			}
			Threads.sleep(300);
		}
		return 0;
	}

}

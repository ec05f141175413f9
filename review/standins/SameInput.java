package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines lose a few answers while many programs continue with the same input, such as
 * the result of a tool. Later programs continue with that input too.
 */
final class SameInput extends Case {

	private static final int TIMEOUT_MS = 3000;

	private static final int RETAIN_S = 60;

	private static final int EVENTS = 3;

	private static final long EVENT_MS = 20;

	/** Dose of the disruption: half of the engines lose every 20th answer for 4 s. */
	private static final int LOST_ONE_IN = 20;

	private static final long DISRUPTION_MS = 4000;

	private static final long STABLE_WINDOW_MS = 3000;

	private static final int PROGRAMS_PER_S = 20;

	private static final int CONTINUED_TURNS = 8;

	private static final int LATER_PROGRAMS = 30;

	private static final int MIN_TRIES = 5;

	private static final String INPUT = "{\"tool\":\"save\",\"result\":\"ok\"}";

	private final AtomicInteger lostAnswers = new AtomicInteger();

	public static void main(String[] args) {
		run(new SameInput(), args[0]);
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
		AtomicInteger runs = new AtomicInteger();
		if (this.trouble) {
			cluster.engines().subList(0, 2).forEach((engine) -> engine.loseAnswers((request) -> {
				boolean lost = runs.incrementAndGet() % LOST_ONE_IN == 0;
				this.lostAnswers.addAndGet(lost ? 1 : 0);
				return lost;
			}));
		}
		List<Future<Boolean>> early = new ArrayList<>();
		long startMs = Trace.now();
		for (int i = 0; Trace.now() - startMs < DISRUPTION_MS; i++) {
			int number = i;
			early.add(submit(() -> playEarly(cluster, number)));
			Threads.sleep(startMs + (i + 1) * 1000L / PROGRAMS_PER_S - Trace.now());
		}
		cluster.engines().forEach((engine) -> engine.loseAnswers((request) -> false));
		long completed = await(early).stream().filter((done) -> done).count();
		Trace.say(early.size() + " programs in " + DISRUPTION_MS + " ms, " + completed + " completed; " + runs
				+ " runs at the engines that lose answers, " + this.lostAnswers + " answers lost");
		Threads.sleep(STABLE_WINDOW_MS + 1500);
		List<Future<Result>> later = new ArrayList<>();
		for (int i = 0; i < LATER_PROGRAMS; i++) {
			int number = i;
			later.add(submit(() -> playLater(cluster, number)));
			Threads.sleep(100);
		}
		List<Result> results = await(later);
		long firstReached = results.stream().filter(Result::firstReached).count();
		long unreached = results.stream().filter((result) -> result.firstReached() && !result.secondReached()).count();
		Trace.say("later programs: " + results.size() + ", first turns that reached an engine: " + firstReached
				+ ", second turns that reached none in " + MIN_TRIES + " tries: " + unreached);
		return unreached == 0 || 10 * firstReached < 9 * results.size();
	}

	private boolean playEarly(Cluster cluster, int number) {
		String program = "early" + number;
		Caller caller = new Caller(port(cluster, number));
		String previous = null;
		for (int turn = 0; turn <= CONTINUED_TURNS; turn++) {
			byte[] input = text((turn == 0) ? "task of " + program : INPUT);
			Caller.Answer answer = turn(caller, program, program + "-" + turn, previous, input);
			if (!answer.isSuccess()) {
				return false;
			}
			previous = answer.id();
		}
		return true;
	}

	private Result playLater(Cluster cluster, int number) {
		String program = "later" + number;
		String first = null;
		for (int attempt = 0; attempt < MIN_TRIES && first == null; attempt++) {
			Caller.Answer answer = turn(new Caller(port(cluster, number + attempt)), program,
					program + "-0-" + attempt, null, text("task of " + program));
			first = answer.isSuccess() ? answer.id() : null;
		}
		if (first == null) {
			return new Result(false, false);
		}
		for (int attempt = 0; attempt < MIN_TRIES; attempt++) {
			String id = program + "-1-" + attempt;
			turn(new Caller(port(cluster, number + attempt)), program, id, first, text(INPUT));
			if (!cluster.runs(id).isEmpty()) {
				return new Result(true, true);
			}
			Threads.sleep(300);
		}
		return new Result(true, false);
	}

	private static Caller.Answer turn(Caller caller, String program, String id, String previous, byte[] input) {
		return caller.send("POST", "/pufi791/2f", Caller.turn(id, program, previous, 1_000_000,
				EVENTS * Engine.EVENT_TOKENS, TIMEOUT_MS), input);
	}

	private record Result(boolean firstReached, boolean secondReached) {

	}

}

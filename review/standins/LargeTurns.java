package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Future;

/**
 * Some programs send a turn whose input is larger than a record of the store.
 */
final class LargeTurns extends Case {

	private static final int PROGRAMS = 48;

	private static final int LARGE = 8;

	private static final int LARGE_BYTES = 300_000;

	private static final int SMALL_BYTES = 4300;

	/** The operator's limit, shorter than the time that clients wait. */
	private static final int TIMEOUT_MS = 2500;

	private static final int CLIENT_MS = 4000;

	private static final int RETAIN_S = 60;

	private static final int EVENTS = 3;

	private static final int MAX_TRIES = 5;

	private static final int LATER_ROUNDS = 3;

	private static final int MAX_UNANSWERED = 3;

	public static void main(String[] args) {
		run(new LargeTurns(), args[0]);
	}

	@Override
	void prepare(Cluster cluster) throws Exception {
		cluster.configure(3, Cluster.turnRoute(TIMEOUT_MS, RETAIN_S));
		for (int i = 0; i < 4; i++) {
			cluster.addEngine("i-llm" + i, "huvo11a", "norte-" + "abc".charAt(i % 3), 8);
		}
	}

	@Override
	boolean holds(Cluster cluster) throws Exception {
		List<Program> programs = new ArrayList<>();
		List<Future<Boolean>> begun = new ArrayList<>();
		for (int i = 0; i < PROGRAMS; i++) {
			Program program = new Program("program" + i, port(cluster, i));
			programs.add(program);
			begun.add(submit(program::begin));
			Threads.sleep(30);
		}
		if (await(begun).contains(false)) {
			throw new IllegalStateException("a first turn was not answered");
		}
		List<Future<Caller.Answer>> large = new ArrayList<>();
		for (Program program : programs.subList(0, LARGE)) {
			large.add(submit(() -> program.next("large", this.trouble ? LARGE_BYTES : SMALL_BYTES)));
		}
		int closed = 0;
		for (Caller.Answer answer : await(large)) {
			boolean ran = !cluster.runs(answer.id()).isEmpty();
			boolean unanswered = ran && answer.kept() && answer.end().equals("closed");
			closed += unanswered ? 1 : 0;
		}
		Trace.say(LARGE + " turns on kept connections, closed without a complete answer after they ran: " + closed);
		Threads.sleep(4000);
		for (int round = 1; round <= LATER_ROUNDS; round++) {
			Map<String, Integer> ends = new TreeMap<>();
			List<Future<Caller.Answer>> next = new ArrayList<>();
			for (Program program : programs.subList(LARGE, PROGRAMS)) {
				String name = "later" + round;
				next.add(submit(() -> program.next(name, SMALL_BYTES)));
				Threads.sleep(30);
			}
			await(next).forEach((answer) -> ends.merge(answer.status() + " " + answer.end()
					+ (cluster.runs(answer.id()).isEmpty() ? "" : ", ran at an engine"), 1, Integer::sum));
			Trace.say("turns of the other " + (PROGRAMS - LARGE) + " programs, round " + round + ": " + ends);
			Threads.sleep(1000);
		}
		Trace.say("appends that the store refused for their size, by partition: " + cluster.store().refusedAppends());
		return closed <= MAX_UNANSWERED;
	}

	private static final class Program {

		private final String name;

		private final Caller caller;

		private String previous;

		Program(String name, int port) {
			this.name = name;
			this.caller = new Caller(port);
		}

		boolean begin() {
			for (int attempt = 0; attempt < MAX_TRIES; attempt++) {
				Caller.Answer answer = send("first" + attempt, SMALL_BYTES);
				if (answer.isSuccess()) {
					this.previous = answer.id();
					return true;
				}
				Threads.sleep(300);
			}
			return false;
		}

		Caller.Answer next(String turn, int bytes) {
			return send(turn, bytes);
		}

		private Caller.Answer send(String turn, int bytes) {
			String id = this.name + "-" + turn;
			return this.caller.send("POST", "/pufi791/2f", Caller.turn(id, this.name, this.previous, 1_000_000,
					EVENTS * Engine.EVENT_TOKENS, CLIENT_MS), text((id + " ").repeat(bytes / (id.length() + 1))));
		}

	}

}

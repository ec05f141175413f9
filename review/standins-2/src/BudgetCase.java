import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Programs run sub-agents in parallel until their token budget is spent; meanwhile the
 * operator moves their route to another service and drops the old one.
 */
final class BudgetCase extends ReviewCase {

	private static final int PROGRAMS = 8;

	private static final int AGENTS = 5;

	private static final int WAVES = 5;

	private static final int TURN_TOKENS = Engine.EVENTS * Engine.EVENT_TOKENS;

	private static final int BUDGET_TOKENS = 10 * TURN_TOKENS;

	private static final long EVENT_PAUSE_MS = 250;

	private static final long CHANGE_AFTER_MS = 600;

	public static void main(String[] args) {
		main(new BudgetCase(), 3, args);
	}

	@Override
	void startServers() throws Exception {
		List<Engine> engines = new ArrayList<>(Engine.start(this.store, "models", 6, 8, 20));
		engines.addAll(Engine.start(this.store, "next", 6, 8, 20));
		engines.forEach((engine) -> engine.setEventPause(EVENT_PAUSE_MS));
	}

	@Override
	int run() throws Exception {
		Map<Integer, AtomicInteger> tokens = new TreeMap<>();
		for (int wave = 0; wave < WAVES; wave++) {
			List<Thread> threads = new ArrayList<>();
			for (int program = 0; program < PROGRAMS; program++) {
				AtomicInteger sum = tokens.computeIfAbsent(program, (key) -> new AtomicInteger());
				for (int agent = 0; agent < AGENTS; agent++) {
					String id = "t-" + program + "-" + wave + "-" + agent;
					Deployment.Daemon daemon = daemons().get((program + agent) % daemons().size());
					String name = "p-" + program;
					threads.add(HttpServer.start("turn", () -> sum.addAndGet(sendTurn(daemon, id, name))));
				}
			}
			if (wave == 0 && this.trouble) {
				LogStore.pause(CHANGE_AFTER_MS);
				// The route of the turns names the service "next"; no route names "models".
				this.store.put("keyed.op", "config", Configuration.create(2).replace("\"models\"", "\"next\""));
				this.record.add("configuration 2 is acknowledged");
			}
			for (Thread thread : threads) {
				thread.join();
			}
			LogStore.pause(300);
		}
		int broken = 0;
		for (Map.Entry<Integer, AtomicInteger> entry : tokens.entrySet()) {
			int sum = entry.getValue().get();
			broken += (sum > BUDGET_TOKENS + TURN_TOKENS) ? 1 : 0;
			this.record.report("program p-" + entry.getKey() + ": " + sum + " tokens handed out, budget "
					+ BUDGET_TOKENS + ", most of one turn " + TURN_TOKENS);
		}
		this.record.report(counts());
		this.record.report("BUDGET " + ((broken > 0) ? "is broken by " + broken + " programs" : "holds"));
		if (tokens.values().stream().anyMatch((sum) -> sum.get() < BUDGET_TOKENS / 2)) {
			return NOT_RUN;
		}
		return (broken > 0) ? BROKEN : HELD;
	}

	private int sendTurn(Deployment.Daemon daemon, String id, String program) {
		Client.Answer answer = Client.sendOnce(daemon.port, "POST", "/turns/" + program,
				Client.turn(id, program, "", BUDGET_TOKENS), Client.input(id, 600), 4000);
		count("turn " + answer.status());
		int tokens = answer.events() * Engine.EVENT_TOKENS;
		this.record.add(id + " of " + program + " at " + daemon.name + ": " + answer.text() + ", " + tokens + " tokens");
		return tokens;
	}

}

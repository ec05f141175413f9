import java.util.ArrayList;
import java.util.List;

/**
 * Programs run turns until the store keeps 45 seconds of their history, and clients send
 * calls on connections that they keep; then two of three daemons are killed.
 */
final class MachineLossCase extends ReviewCase {

	private static final int PROGRAMS = 14;

	private static final int TURNS = 4;

	private static final int INPUT_BYTES = 20_000;

	private static final int CLIENTS = 24;

	private static final long BUILD_MS = 45_000;

	private static final long AFTER_MS = 20_000;

	private static final long TURN_PAUSE_MS = 150;

	private static final long CALL_PAUSE_MS = 50;

	private final List<String> lost = new ArrayList<>();

	private List<Engine> tools;

	public static void main(String[] args) {
		main(new MachineLossCase(), 3, args);
	}

	@Override
	void startServers() throws Exception {
		Engine.start(this.store, "models", 6, 8, 20);
		this.tools = Engine.start(this.store, "tools", 6, 6, 100);
	}

	@Override
	int run() throws Exception {
		for (int number = 0; number < PROGRAMS; number++) {
			int program = number;
			HttpServer.start("program", () -> runPrograms(program));
		}
		observe("before", BUILD_MS);
		Deployment.Daemon survivor = daemons().get(2);
		for (int number = 0; number < CLIENTS; number++) {
			int client = number;
			HttpServer.start("client", () -> sendCalls(survivor, client));
		}
		observe("calls", 3000);
		if (this.trouble) {
			daemons().get(0).kill();
			daemons().get(1).kill();
			this.record.report("front-0 and front-1 are killed");
		}
		observe("after", AFTER_MS);
		this.stop = true;
		LogStore.pause(3500);
		this.record.report(counts());
		int broken;
		synchronized (this.lost) {
			this.lost.forEach(this.record::add);
			broken = this.lost.size();
		}
		this.record.report("calls on kept connections to front-2 that a server ran and that got no answer: " + broken);
		this.record.report("LOST " + ((broken > 3) ? "is broken" : "holds"));
		if (countOf("call 200") < 100 || countOf("turn 200") < 1000) {
			return NOT_RUN;
		}
		return (broken > 3) ? BROKEN : HELD;
	}

	private void sendCalls(Deployment.Daemon daemon, int number) {
		try (Client client = new Client(daemon.port)) {
			for (int call = 0; !this.stop; call++) {
				String id = "c-" + number + "-" + call;
				Client.Answer answer = client.send("POST", "/once/a", Client.call(id), Client.input(id, 600), 4000);
				count("call " + answer.status());
				int runs = this.tools.stream().mapToInt((tool) -> tool.runs(id)).sum();
				this.record.add(id + " on a " + (answer.kept() ? "kept" : "new") + " connection: " + answer.text()
						+ ", runs " + runs);
				if (answer.status() == 0 && answer.kept() && runs > 0) {
					synchronized (this.lost) {
						this.lost.add("lost: " + id);
					}
				}
				LogStore.pause(CALL_PAUSE_MS);
			}
		}
	}

	private void runPrograms(int number) {
		List<Deployment.Daemon> daemons = daemons();
		for (int run = 0; !this.stop; run++) {
			String program = "p-" + number + "-" + run;
			String previous = "";
			for (int turn = 0; turn < TURNS && !this.stop; turn++) {
				String id = "t-" + number + "-" + run + "-" + turn;
				Deployment.Daemon daemon = daemons.get((number + run + turn) % daemons.size());
				Client.Answer answer = Client.sendOnce(daemon.port, "POST", "/turns/" + program,
						Client.turn(id, program, previous, 2312), Client.input(id, INPUT_BYTES), 4000);
				count("turn " + answer.status() + (answer.whole() ? "" : " broken off"));
				this.record.add(id + " at " + daemon.name + ": " + answer.text());
				LogStore.pause(TURN_PAUSE_MS);
				if (!answer.served()) {
					break;
				}
				previous = id;
			}
		}
	}

}

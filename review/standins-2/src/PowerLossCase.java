import java.util.List;

/**
 * Programs run turns until the store keeps 50 seconds of their history; then all daemons
 * lose power at once and start again.
 */
final class PowerLossCase extends ReviewCase {

	private static final int PROGRAMS = 12;

	private static final int TURNS = 4;

	private static final int INPUT_BYTES = 24_000;

	private static final long BUILD_MS = 50_000;

	private static final long DOWN_MS = 500;

	private static final long RECOVERY_MS = 12_000;

	private static final long AFTER_MS = 8_000;

	private static final long PAUSE_MS = 150;

	private volatile String phase = "before";

	public static void main(String[] args) {
		main(new PowerLossCase(), 3, args);
	}

	@Override
	void startServers() throws Exception {
		Engine.start(this.store, "models", 6, 8, 20);
	}

	@Override
	int run() throws Exception {
		for (int number = 0; number < PROGRAMS; number++) {
			int program = number;
			HttpServer.start("program", () -> runPrograms(program));
		}
		observe("before", BUILD_MS);
		this.phase = "recovery";
		if (this.trouble) {
			for (Deployment.Daemon daemon : daemons()) {
				daemon.kill();
			}
			LogStore.pause(DOWN_MS);
			for (Deployment.Daemon daemon : daemons()) {
				daemon.start();
			}
			this.record.report("all daemons have lost power for " + DOWN_MS + " ms and are started again");
		}
		observe("recovery", RECOVERY_MS);
		this.phase = "after";
		observe("after", AFTER_MS);
		this.phase = "end";
		// A turn that was sent at the end has time to be answered.
		observe("end", 3500);
		this.record.report("before the fault: " + countOf("before served") + " of " + countOf("before sent")
				+ " turns served");
		this.record.report("sent later than recovery_s: " + countOf("after served") + " of " + countOf("after sent")
				+ " turns served");
		if (4 * countOf("before served") < countOf("before sent") || countOf("after sent") < 20) {
			return NOT_RUN;
		}
		boolean broken = 4 * countOf("after served") < countOf("after sent");
		this.record.report("RECOVER " + (broken ? "is broken" : "holds"));
		return broken ? BROKEN : HELD;
	}

	private void runPrograms(int number) {
		List<Deployment.Daemon> daemons = daemons();
		for (int run = 0; !this.stop; run++) {
			String program = "p-" + number + "-" + run;
			String previous = "";
			for (int turn = 0; turn < TURNS && !this.stop; turn++) {
				String id = "t-" + number + "-" + run + "-" + turn;
				String sent = this.phase;
				Deployment.Daemon daemon = daemons.get((number + run + turn) % daemons.size());
				Client.Answer answer = Client.sendOnce(daemon.port, "POST", "/turns/" + program,
						Client.turn(id, program, previous, 2312), Client.input(id, INPUT_BYTES), 4000);
				count(sent + " sent");
				count(sent + " " + (answer.served() ? "served" : "not served"));
				this.record.add(id + " sent " + sent + " at " + daemon.name + ": " + answer.text());
				LogStore.pause(PAUSE_MS);
				if (!answer.served()) {
					break;
				}
				previous = id;
			}
		}
	}

}

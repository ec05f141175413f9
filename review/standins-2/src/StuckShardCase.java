import java.util.ArrayList;
import java.util.List;

/**
 * A client sends a few turns whose input is larger than a record of the store may be, then
 * many sessions send small turns.
 */
final class StuckShardCase extends ReviewCase {

	private static final int LARGE_TURNS = 6;

	private static final int LARGE_BYTES = 270_000;

	private static final int SMALL_BYTES = 200_000;

	private static final int SESSIONS = 96;

	private static final int LEAST_ASKED = 4;

	private static final long LEAST_SPAN_MS = 8_000;

	private static final long ASKING_MS = 16_000;

	private static final long PAUSE_MS = 1_000;

	public static void main(String[] args) {
		main(new StuckShardCase(), 3, args);
	}

	@Override
	void startServers() throws Exception {
		Engine.start(this.store, "models", 6, 8, 20);
	}

	@Override
	int run() throws Exception {
		for (int turn = 0; turn < LARGE_TURNS; turn++) {
			String id = "l-" + turn;
			int bytes = this.trouble ? LARGE_BYTES : SMALL_BYTES;
			Client.Answer answer = Client.sendOnce(daemons().get(turn % 3).port, "POST", "/turns/a",
					Client.turn(id, "p-" + id, "", 2312), Client.input(id, bytes), 4000);
			this.record.report(id + " of " + bytes + " bytes: " + answer.text() + ", " + answer.events() + " events");
		}
		List<Session> sessions = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		long end = this.record.elapsedMs() + ASKING_MS;
		for (int number = 0; number < SESSIONS; number++) {
			Session session = new Session(number);
			sessions.add(session);
			threads.add(HttpServer.start("session", () -> session.run(end)));
		}
		for (Thread thread : threads) {
			thread.join();
		}
		List<Session> counted = sessions.stream()
			.filter((session) -> session.asked >= LEAST_ASKED && session.spanMs >= LEAST_SPAN_MS)
			.toList();
		long asked = sessions.stream().mapToLong((session) -> session.asked).sum();
		long served = sessions.stream().mapToLong((session) -> session.served).sum();
		long never = counted.stream().filter((session) -> session.served == 0).count();
		// Chance alone leaves a session unserved if each of its turns fails as often as all.
		double failing = 1 - (double) served / asked;
		double chance = counted.stream().mapToDouble((session) -> Math.pow(failing, session.asked)).sum();
		this.record.report("turns served: " + served + " of " + asked + "; sessions that count: " + counted.size()
				+ ", never served: " + never + ", by chance: " + chance);
		boolean broken = never - 3 * chance > 2 + 0.04 * counted.size();
		this.record.report("Starved " + (broken ? "is broken" : "holds"));
		if (counted.size() < SESSIONS / 2 || served == 0) {
			return NOT_RUN;
		}
		return broken ? BROKEN : HELD;
	}

	private final class Session {

		private final int number;

		private int asked;

		private int served;

		private long spanMs;

		Session(int number) {
			this.number = number;
		}

		void run(long end) {
			LogStore.pause(10L * this.number);
			long began = StuckShardCase.this.record.elapsedMs();
			while (StuckShardCase.this.record.elapsedMs() < end) {
				String id = "t-" + this.number + "-" + this.asked;
				Deployment.Daemon daemon = daemons().get((this.number + this.asked) % 3);
				this.spanMs = StuckShardCase.this.record.elapsedMs() - began;
				Client.Answer answer = Client.sendOnce(daemon.port, "POST", "/turns/a",
						Client.turn(id, "p-" + this.number, "", 100_000), Client.input(id, 4300), 4000);
				this.asked++;
				this.served += answer.served() ? 1 : 0;
				StuckShardCase.this.record
					.add(id + " of session " + this.number + " at " + daemon.name + ": " + answer.text());
				LogStore.pause(PAUSE_MS);
			}
		}

	}

}

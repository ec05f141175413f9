import java.util.ArrayList;
import java.util.List;

/**
 * Clients send calls on connections that they keep; meanwhile other clients send turns
 * whose input is as large as the configuration allows.
 */
final class LargeTurnCase extends ReviewCase {

	private static final int CLIENTS = 24;

	private static final int LARGE_CLIENTS = 2;

	private static final int SMALL_BYTES = 100_000;

	private static final long CALMLY_MS = 5_000;

	private static final long TROUBLE_MS = 30_000;

	private static final long LARGE_PAUSE_MS = 500;

	private static final long PAUSE_MS = 50;

	private final List<String> lost = new ArrayList<>();

	private List<Engine> tools;

	public static void main(String[] args) {
		main(new LargeTurnCase(), 3, args);
	}

	@Override
	void startServers() throws Exception {
		Engine.start(this.store, "models", 6, 8, 20);
		this.tools = Engine.start(this.store, "tools", 6, 6, 100);
	}

	@Override
	int run() throws Exception {
		for (int number = 0; number < CLIENTS; number++) {
			int client = number;
			HttpServer.start("client", () -> sendCalls(client));
		}
		observe("calm", CALMLY_MS);
		for (int number = 0; number < LARGE_CLIENTS; number++) {
			int client = number;
			HttpServer.start("large", () -> sendTurns(client));
		}
		observe("large turns", TROUBLE_MS);
		this.stop = true;
		LogStore.pause(3500);
		this.record.report(counts());
		int broken;
		synchronized (this.lost) {
			this.lost.forEach(this.record::add);
			broken = this.lost.size();
		}
		this.record.report("calls on kept connections that a server ran and that got no answer: " + broken);
		this.record.report("LOST " + ((broken > 3) ? "is broken" : "holds"));
		if (countOf("call 200") < 100) {
			return NOT_RUN;
		}
		return (broken > 3) ? BROKEN : HELD;
	}

	private void sendCalls(int number) {
		try (Client client = new Client(daemons().get(number % daemons().size()).port)) {
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
				LogStore.pause(PAUSE_MS);
			}
		}
	}

	private void sendTurns(int number) {
		int bytes = this.trouble ? Configuration.MAX_BODY_BYTES : SMALL_BYTES;
		for (int turn = 0; !this.stop; turn++) {
			String id = "l-" + number + "-" + turn;
			Deployment.Daemon daemon = daemons().get((number + turn) % daemons().size());
			Client.Answer answer = Client.sendOnce(daemon.port, "POST", "/turns/a", Client.turn(id, "p-" + id, "", 2312),
					Client.input(id, bytes), 4000);
			count("turn of " + bytes + " bytes " + answer.status() + (answer.whole() ? "" : " broken off"));
			this.record.add(id + " of " + bytes + " bytes at " + daemon.name + ": " + answer.text());
			LogStore.pause(LARGE_PAUSE_MS);
		}
	}

}

import java.util.List;

/**
 * Another writer writes entries with missing fields under the identifier of a model engine;
 * they name another service. Meanwhile clients send calls to that service.
 */
final class ForeignEntryCase extends ReviewCase {

	private static final int CLIENTS = 12;

	private static final int ENTRIES = 8;

	private static final long CALM_MS = 3_000;

	private static final long ENTRY_PAUSE_MS = 1_500;

	private static final long PAUSE_MS = 50;

	private List<Engine> models;

	private List<Engine> tools;

	public static void main(String[] args) {
		main(new ForeignEntryCase(), 3, args);
	}

	@Override
	void startServers() throws Exception {
		this.models = Engine.start(this.store, "models", 3, 8, 20);
		this.tools = Engine.start(this.store, "tools", 3, 6, 30);
		this.models.forEach((engine) -> engine.keepRegistered(this.store));
		this.tools.forEach((engine) -> engine.keepRegistered(this.store));
	}

	@Override
	int run() throws Exception {
		for (int number = 0; number < CLIENTS; number++) {
			int client = number;
			HttpServer.start("client", () -> sendCalls(client));
		}
		observe("calm", CALM_MS);
		Engine engine = this.models.get(0);
		for (int entry = 0; entry < ENTRIES; entry++) {
			if (this.trouble) {
				String text = "{\"service\":\"tools\",\"address\":\"" + engine.address()
						+ "\",\"zone\":\"zone-a\",\"slots\":6,\"state\":\"ready\"}";
				this.store.put("keyed.servers", engine.id(), text);
				this.record.add("another writer writes servers/" + engine.id() + ": " + text);
			}
			LogStore.pause(ENTRY_PAUSE_MS);
		}
		this.stop = true;
		LogStore.pause(3500);
		int foreign = countOf("call run by a model engine");
		this.record.report(counts());
		this.record.report("ROUTE " + ((foreign > 0) ? "is broken" : "holds"));
		if (countOf("call 200") < 100) {
			return NOT_RUN;
		}
		return (foreign > 0) ? BROKEN : HELD;
	}

	private void sendCalls(int number) {
		try (Client client = new Client(daemons().get(number % daemons().size()).port)) {
			for (int call = 0; !this.stop; call++) {
				String id = "c-" + number + "-" + call;
				Client.Answer answer = client.send("POST", "/once/a", Client.call(id), Client.input(id, 600), 4000);
				count("call " + answer.status());
				int foreign = this.models.stream().mapToInt((engine) -> engine.runs(id)).sum();
				int own = this.tools.stream().mapToInt((engine) -> engine.runs(id)).sum();
				if (foreign > 0) {
					count("call run by a model engine");
				}
				this.record.add(id + " for service tools: " + answer.text() + ", runs at servers of tools " + own
						+ ", at model engines " + foreign);
				LogStore.pause(PAUSE_MS);
			}
		}
	}

}

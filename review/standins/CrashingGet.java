package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Future;

/**
 * A request without a body crashes each engine that begins to run it, and comes again.
 */
final class CrashingGet extends Case {

	private static final int ARRIVALS = 10;

	private static final long ARRIVAL_INTERVAL_MS = 4000;

	private static final long STABLE_WINDOW_MS = 3000;

	private static final int MAX_RETRIES = 3;

	private static final int TIMEOUT_MS = 1200;

	private static final int OTHERS_PER_S = 40;

	private static final int WORK_MS = 300;

	private static final String CRASHING_PATH = "/pule252/order-4711";

	public static void main(String[] args) {
		run(new CrashingGet(), args[0]);
	}

	@Override
	void prepare(Cluster cluster) throws Exception {
		cluster.configure(3, Cluster.plainRoute("r-zji9n73", "/puxa403/", "unsafe", 3000, 1) + ","
				+ Cluster.plainRoute("r-pule252", "/pule252/", "safe", TIMEOUT_MS, 2));
		for (int i = 0; i < 6; i++) {
			Engine engine = cluster.addEngine("i-app" + i, "wuno96b", "norte-" + "abc".charAt(i % 3), 6);
			engine.setWorkMs(WORK_MS);
			if (this.trouble) {
				engine.crashOn((request) -> request.path().equals(CRASHING_PATH));
			}
		}
	}

	@Override
	boolean holds(Cluster cluster) throws Exception {
		List<Future<Caller.Answer>> others = new ArrayList<>();
		Thread background = Threads.start("others", () -> {
			long startMs = Trace.now();
			for (int i = 0; Trace.now() - startMs < ARRIVALS * ARRIVAL_INTERVAL_MS; i++) {
				String id = "other" + i;
				int port = port(cluster, i);
				others.add(submit(() -> new Caller(port).send("POST", "/puxa403/2f", Caller.headers(id, 3000), text(id))));
				Threads.sleep(startMs + (i + 1) * 1000L / OTHERS_PER_S - Trace.now());
			}
		});
		for (int arrival = 0; arrival < ARRIVALS; arrival++) {
			// A client repeats a safe request once after a failure, at another daemon.
			for (int attempt = 0; attempt < 2; attempt++) {
				Caller caller = new Caller(port(cluster, arrival + attempt));
				if (caller.send("GET", CRASHING_PATH, Caller.headers("get" + arrival + "-" + attempt, TIMEOUT_MS),
						new byte[0]).isSuccess()) {
					break;
				}
			}
			Threads.sleep(ARRIVAL_INTERVAL_MS);
		}
		background.join();
		Map<String, Integer> ends = new TreeMap<>();
		await(others).forEach((answer) -> ends.merge(answer.status() + " " + answer.end(), 1, Integer::sum));
		Trace.say("other requests, which may not be repeated: " + ends);
		List<Long> reached = cluster.engines()
			.stream()
			.flatMap((engine) -> engine.runs().stream())
			.filter((run) -> this.trouble && run.uri().equals(CRASHING_PATH))
			.map(Engine.Run::atMs)
			.sorted()
			.toList();
		long late = (reached.size() < MAX_RETRIES) ? 0
				: reached.stream().filter((atMs) -> atMs > reached.get(MAX_RETRIES - 1) + STABLE_WINDOW_MS).count();
		Trace.say("the request has crashed engines " + reached.size() + " times, " + late + " of them later than "
				+ STABLE_WINDOW_MS + " ms after the third");
		return late <= MAX_RETRIES;
	}

}

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A case: store, servers and daemons are started, and the outcome is the exit status: 1 if
 * the rule was broken, 0 if it held, 2 if the case couldn't run.
 */
abstract class ReviewCase {

	static final int BROKEN = 1;

	static final int HELD = 0;

	static final int NOT_RUN = 2;

	private static final long READY_MS = 20_000;

	/** Time after which a case that hangs is ended. */
	private static final long LIMIT_MS = 115_000;

	private final Map<String, Integer> counts = new TreeMap<>();

	final boolean trouble = !"false".equals(System.getProperty("trouble"));

	CaseRecord record;

	LogStore store;

	Deployment deployment;

	volatile boolean stop;

	/** Runs the case; the daemons are ready. */
	abstract int run() throws Exception;

	/** Registers servers before the daemons start. */
	abstract void startServers() throws Exception;

	static void main(ReviewCase reviewCase, int daemons, String[] args) {
		int status = NOT_RUN;
		HttpServer.start("limit", () -> {
			LogStore.pause(LIMIT_MS);
			System.exit(NOT_RUN);
		});
		try (CaseRecord record = new CaseRecord(Path.of(args[1])); LogStore store = new LogStore();
				Deployment started = new Deployment(Path.of(args[0]), store.address(), record)) {
			reviewCase.record = record;
			reviewCase.store = store;
			reviewCase.deployment = started;
			store.put("keyed.op", "config", Configuration.create(1));
			reviewCase.startServers();
			started.startAll(daemons);
			if (started.awaitReady(READY_MS)) {
				record.report("trouble: " + reviewCase.trouble + "; " + daemons + " daemons are ready");
				status = reviewCase.run();
			}
			else {
				record.report("the daemons did not become ready");
			}
			reviewCase.stop = true;
			record.report("refusals of the store: " + store.refusals());
			for (Deployment.Daemon daemon : started.all()) {
				record.report(daemon.name + " ended by itself with statuses " + daemon.ownEnds());
			}
			record.report("exit status " + status);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	synchronized void count(String name) {
		this.counts.merge(name, 1, Integer::sum);
	}

	synchronized int countOf(String name) {
		return this.counts.getOrDefault(name, 0);
	}

	synchronized String counts() {
		return this.counts.toString();
	}

	List<Deployment.Daemon> daemons() {
		return this.deployment.all();
	}

	/** Waits and writes the state of the daemons every two seconds. */
	void observe(String phase, long ms) {
		long end = this.record.elapsedMs() + ms;
		while (this.record.elapsedMs() < end) {
			LogStore.pause(Math.min(2000, Math.max(1, end - this.record.elapsedMs())));
			StringBuilder text = new StringBuilder(phase + ": history of " + this.store.newestBytes("keyed.turns") / 1000
					+ " kB, holders of shards " + this.store.holders().values());
			for (Deployment.Daemon daemon : daemons()) {
				text.append("; ").append(daemon.name).append(" heap ").append(daemon.metric("heap_bytes"));
			}
			this.record.add(text.toString());
		}
	}

}

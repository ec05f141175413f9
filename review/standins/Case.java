package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs a case. The exit status is 1 if the rule was broken, 0 if it held and 2 if the case
 * could not run.
 */
abstract class Case {

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	/** Whether the disruption takes place. */
	protected final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	/**
	 * Plays the case.
	 * @param cluster three daemons that are ready
	 * @return whether the rule held
	 */
	abstract boolean holds(Cluster cluster) throws Exception;

	/** Writes the first configuration and starts the engines. */
	abstract void prepare(Cluster cluster) throws Exception;

	static void run(Case played, String record) {
		Trace.open(record);
		Trace.say("disruption: " + (played.trouble ? "yes" : "no"));
		int status = 2;
		try (Cluster cluster = new Cluster()) {
			played.prepare(cluster);
			for (String zone : List.of("a", "b", "c")) {
				cluster.start("front-" + zone, "norte-" + zone, 450, null);
			}
			if (cluster.awaitReady()) {
				status = played.holds(cluster) ? 0 : 1;
			}
			else {
				cluster.copyLogs("", 20);
				Trace.say("the daemons did not become ready");
			}
		}
		catch (Exception ex) {
			ex.printStackTrace();
			Trace.say("the case could not run: " + ex);
			status = 2;
		}
		Trace.say("exit status " + status);
		System.exit(status);
	}

	<T> Future<T> submit(Callable<T> task) {
		return this.threads.submit(task);
	}

	static <T> List<T> await(List<Future<T>> futures) throws InterruptedException, ExecutionException {
		List<T> results = new ArrayList<>();
		for (Future<T> future : futures) {
			results.add(future.get());
		}
		return results;
	}

	static int port(Cluster cluster, int index) {
		List<Cluster.Daemon> daemons = cluster.daemons();
		return daemons.get(Math.floorMod(index, daemons.size())).callerPort();
	}

	static byte[] text(String text) {
		return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
	}

}

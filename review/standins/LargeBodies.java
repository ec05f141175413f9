package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Future;

/**
 * Some clients of one daemon send bodies at the same time, each below the operator's
 * limit. Others send small requests meanwhile.
 */
final class LargeBodies extends Case {

	private static final int CLIENTS = 16;

	private static final int LARGE_BYTES = 4_000_000;

	private static final int SMALL_BYTES = 600;

	private static final int ROUNDS = 2;

	private static final long ROUND_MS = 4000;

	/** 16 bodies of 4 MB in 2 s are 256 Mbit/s, a quarter of the link of a machine. */
	private static final int UPLOAD_MS = 2000;

	private static final int LARGE_CLIENT_MS = 4000;

	private static final int TIMEOUT_MS = 1200;

	private static final int CLIENT_MS = 4000;

	private static final int SLACK_MS = 500;

	private static final int MIN_UNANSWERED = 8;

	private static final long SMALL_INTERVAL_MS = 50;

	/** Small requests that are sent before the first large ones. */
	private static final int LEAD = 20;

	public static void main(String[] args) {
		run(new LargeBodies(), args[0]);
	}

	@Override
	void prepare(Cluster cluster) throws Exception {
		cluster.configure(3, Cluster.plainRoute("r-zji9n73", "/puxa403/", "unsafe", 3000, 1) + ","
				+ Cluster.plainRoute("r-pule252", "/pule252/", "safe", TIMEOUT_MS, 2));
		for (int i = 0; i < 6; i++) {
			cluster.addEngine("i-app" + i, "wuno96b", "norte-" + "abc".charAt(i % 3), 6);
		}
	}

	@Override
	boolean holds(Cluster cluster) throws Exception {
		int port = port(cluster, 0);
		List<Future<Caller.Answer>> small = new ArrayList<>();
		List<Future<Caller.Answer>> large = new ArrayList<>();
		byte[] body = new byte[this.trouble ? LARGE_BYTES : SMALL_BYTES];
		long startMs = Trace.now();
		for (int i = 0; Trace.now() - startMs < ROUNDS * ROUND_MS + 2000; i++) {
			if (i % (ROUND_MS / SMALL_INTERVAL_MS) == LEAD && large.size() < ROUNDS * CLIENTS) {
				for (int client = 0; client < CLIENTS; client++) {
					String id = "large" + i + "-" + client;
					large.add(submit(() -> new Caller(port).withUpload(UPLOAD_MS)
						.send("POST", "/puxa403/2f", Caller.headers(id, LARGE_CLIENT_MS), body)));
				}
			}
			String id = "small" + i;
			small.add(submit(() -> new Caller(port).send("GET", "/pule252/2f", Caller.headers(id, CLIENT_MS), new byte[0])));
			Threads.sleep(startMs + (i + 1) * SMALL_INTERVAL_MS - Trace.now());
		}
		Map<String, Integer> ends = new TreeMap<>();
		await(large).forEach((answer) -> ends.merge(answer.status() + " " + answer.end(), 1, Integer::sum));
		Trace.say("requests with a body of " + body.length + " bytes: " + ends);
		int overdue = 0;
		int unanswered = 0;
		Map<String, Integer> smallEnds = new TreeMap<>();
		for (Caller.Answer answer : await(small)) {
			long ms = answer.endMs() - answer.startMs();
			smallEnds.merge(answer.status() + " " + answer.end(), 1, Integer::sum);
			overdue += (ms > TIMEOUT_MS) ? 1 : 0;
			unanswered += (ms > TIMEOUT_MS + SLACK_MS) ? 1 : 0;
		}
		Trace.say("small requests: " + smallEnds);
		Trace.say("small requests without an answer at the timeout of their route: " + overdue + ", " + SLACK_MS
				+ " ms later: " + unanswered);
		cluster.copyLogs("OutOfMemory", 0);
		return unanswered < MIN_UNANSWERED || 2 * unanswered <= overdue;
	}

}

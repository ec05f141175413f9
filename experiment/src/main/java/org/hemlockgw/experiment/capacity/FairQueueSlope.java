package org.hemlockgw.experiment.capacity;

import java.util.List;

import org.hemlockgw.core.schedule.FairQueue;
import org.hemlockgw.core.schedule.QueuedRequest;

/**
 * Time of one add and one poll of an engine's queue.
 */
final class FairQueueSlope implements Slope {

	private static final int ACCOUNTS_QUEUED = 20;

	@Override
	public String name() {
		return "queue";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		return List.of(Series.measure("queue.add_poll.length", "us", "queued requests", new int[] { 16, 64, 256, 1024 },
				(n) -> {
					FairQueue<Integer> queue = new FairQueue<>((account) -> 1);
					for (int i = 0; i < n; i++) {
						queue.add(request(i));
					}
					int[] next = { n };
					return measure.cpuUs(() -> {
						queue.add(request(next[0]++));
						queue.poll((request) -> true);
					});
				}));
	}

	private static QueuedRequest<Integer> request(int i) {
		return new QueuedRequest<>(Samples.account(i % ACCOUNTS_QUEUED), 1000L * (i * 7919 % 65), 3000,
				Samples.NOW.plusMillis(i), false, i);
	}

}

package org.hemlockgw.experiment.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;

import org.hemlockgw.core.pool.PoolMember;
import org.hemlockgw.core.pool.PoolScheduler;
import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.SlotRequest;

/**
 * Time of one request in the scheduler of a full pool: its submission, and the release
 * that grants a slot to another one.
 */
final class SchedulerSlope implements Slope {

	private static final int ENGINES = 31;

	private static final int SLOTS = 6;

	private static final int ACCOUNTS = 83;

	private static final int PROGRAMS = 400;

	@Override
	public String name() {
		return "scheduler";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		return List.of(Series.measure("scheduler.submit_release.length", "us", "queued requests",
				new int[] { 16, 64, 256, 1024 }, (n) -> {
					PoolScheduler scheduler = new PoolScheduler(System::nanoTime);
					scheduler.updateServers(members());
					Queue<String> granted = new ArrayDeque<>();
					int[] next = { 0 };
					for (int i = 0; i < ENGINES * SLOTS + n; i++) {
						submit(scheduler, granted, next[0]++);
					}
					return measure.cpuUs(() -> {
						submit(scheduler, granted, next[0]++);
						scheduler.release(granted.remove(), 6, false);
					});
				}));
	}

	private static void submit(PoolScheduler scheduler, Queue<String> granted, int i) {
		String id = "r" + i;
		int program = i * 7919 % PROGRAMS;
		SlotRequest request = new SlotRequest(id, "d1", Samples.account(program % ACCOUNTS), "s" + program, "chat",
				"p" + program, 2 * (program % 2), true, 1_000_000 + program, 250, 10_000_000,
				List.of(new PromptPart("p" + program, 300)), 0, Set.of(), Set.of());
		scheduler.submit(request, (decision) -> {
			if (decision.serverId() != null) {
				granted.add(id);
			}
		});
	}

	private static List<PoolMember> members() {
		List<PoolMember> members = new ArrayList<>();
		for (int i = 0; i < ENGINES; i++) {
			members.add(new PoolMember("s" + i, "p", "127.0.0.1:" + (i + 1), "a", SLOTS, false, 0));
		}
		return members;
	}

}

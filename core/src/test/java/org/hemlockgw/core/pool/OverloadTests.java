package org.hemlockgw.core.pool;

import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Plays programs of several turns against {@link PoolScheduler} in virtual time, and
 * checks what their callers get when more programs arrive than the servers can run.
 */
class OverloadTests {

	/** Share of the servers' capacity that programs within their aim must get. */
	private static final double MIN_USEFUL_SHARE = 0.6;

	private static final int SERVERS = 4;

	private static final int SLOTS = 6;

	private static final int TURN_MS = 100;

	private static final int PAUSE_MS = 50;

	private static final int MIN_TURNS = 2;

	private static final int MAX_TURNS = 10;

	private static final int OBJECTIVE_MS = 250;

	private static final int DEADLINE_MS = 4000;

	/** Programs a second that the servers can run on average. */
	private static final double CAPACITY = 1000.0 * SERVERS * SLOTS / (TURN_MS * (MIN_TURNS + MAX_TURNS) / 2.0);

	/** Interval at which overdue requests are refused. */
	private static final int TICK_MS = 50;

	private static final int FLOOD_MS = 12_000;

	private static final int TOTAL_MS = 24_000;

	/** Time after the flood in which the programs that it left behind are completed. */
	private static final int RECOVERY_MS = 3000;

	private final PriorityQueue<ScheduledAction> events = new PriorityQueue<>();

	private long nowMs;

	private long sequence;

	private final PoolScheduler scheduler = new PoolScheduler(() -> this.nowMs * 1_000_000);

	private int begunInFlood;

	private int usefulInFlood;

	private int begunAfterRecovery;

	private int usefulAfterRecovery;

	private int heldRefusals;

	// Load during the flood as a multiple of the capacity. Guards against an overload
	// that makes all programs late, and against one that outlasts its cause.
	@ParameterizedTest
	@CsvSource({ "1.5, 1", "2.5, 2", "4, 3", "4, 4" })
	void overloadCostsOnlyWhatExceedsCapacity(double load, long seed) {
		this.scheduler.updateServers(IntStream.range(0, SERVERS)
			.mapToObj((i) -> new PoolMember("s" + i, "p", "127.0.0.1:" + (i + 1), "a", SLOTS, false, 0))
			.toList());
		Random random = new Random(seed);
		for (double at = 0; at < TOTAL_MS; at += nextGapMs(random, at, load)) {
			int turns = MIN_TURNS + random.nextInt(MAX_TURNS - MIN_TURNS + 1);
			Program program = new Program("p" + (long) at + "-" + this.sequence, turns, (long) at);
			schedule((long) at, program::begin);
		}
		for (int tick = 0; tick < TOTAL_MS + DEADLINE_MS; tick += TICK_MS) {
			schedule(tick, this.scheduler::expireOverdue);
		}
		while (!this.events.isEmpty()) {
			ScheduledAction next = this.events.remove();
			this.nowMs = next.atMs();
			next.action().run();
		}
		double possible = Math.min(this.begunInFlood, CAPACITY * FLOOD_MS / 1000);
		assertThat(this.usefulInFlood / possible).isAtLeast(MIN_USEFUL_SHARE);
		assertThat((double) this.usefulAfterRecovery / this.begunAfterRecovery).isAtLeast(0.95);
		assertThat(this.heldRefusals).isEqualTo(0);
	}

	private double nextGapMs(Random random, double atMs, double load) {
		double perSecond = CAPACITY * ((atMs < FLOOD_MS) ? load : 0.5);
		return -1000 * Math.log(1 - random.nextDouble()) / perSecond;
	}

	private void schedule(long atMs, Runnable action) {
		this.events.add(new ScheduledAction(atMs, ++this.sequence, action));
	}

	/**
	 * Program whose caller repeats a refused turn once if it is told when.
	 */
	private final class Program {

		private final String name;

		private final int turns;

		private final long begunMs;

		private int turn;

		private int attempt;

		private long sentMs;

		Program(String name, int turns, long begunMs) {
			this.name = name;
			this.turns = turns;
			this.begunMs = begunMs;
		}

		void begin() {
			if (this.begunMs < FLOOD_MS) {
				OverloadTests.this.begunInFlood++;
			}
			else if (this.begunMs >= FLOOD_MS + RECOVERY_MS) {
				OverloadTests.this.begunAfterRecovery++;
			}
			send();
		}

		private void send() {
			this.sentMs = OverloadTests.this.nowMs;
			long remainingMs = this.begunMs + aimMs() - this.sentMs;
			String id = this.name + "-" + this.turn + "-" + this.attempt;
			SlotRequest request = new SlotRequest(id, "d1", "", "", 0, this.turn > 0, remainingMs, OBJECTIVE_MS,
					DEADLINE_MS, List.of(new PromptPart(this.name, 300)), 0, Set.of(), Set.of());
			OverloadTests.this.scheduler.submit(request, (decision) -> {
				if (decision.serverId() != null) {
					schedule(OverloadTests.this.nowMs + TURN_MS, () -> complete(id));
					return;
				}
				handleRefusal(decision.retryAfterMs());
			});
		}

		private void handleRefusal(long retryAfterMs) {
			if (this.turn == 0 && OverloadTests.this.nowMs - this.sentMs > OBJECTIVE_MS / 4 + TICK_MS) {
				OverloadTests.this.heldRefusals++;
			}
			this.attempt++;
			if (this.attempt == 1 && retryAfterMs < DEADLINE_MS / 3) {
				schedule(OverloadTests.this.nowMs + Math.max(1, retryAfterMs), this::send);
			}
		}

		private long aimMs() {
			long idleMs = (long) this.turns * TURN_MS + (this.turns - 1L) * PAUSE_MS;
			return Math.round(1.5 * idleMs) + OBJECTIVE_MS;
		}

		private void complete(String id) {
			OverloadTests.this.scheduler.release(id, 6, false);
			this.turn++;
			this.attempt = 0;
			if (this.turn < this.turns) {
				schedule(OverloadTests.this.nowMs + PAUSE_MS, this::send);
				return;
			}
			if (OverloadTests.this.nowMs - this.begunMs > aimMs()) {
				return;
			}
			if (this.begunMs < FLOOD_MS) {
				OverloadTests.this.usefulInFlood++;
			}
			else if (this.begunMs >= FLOOD_MS + RECOVERY_MS) {
				OverloadTests.this.usefulAfterRecovery++;
			}
		}

	}

}

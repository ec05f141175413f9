package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link SlotQueue} and {@link AccountFairQueue}.
 */
class SlotQueueTests {

	private static final long MS = 1_000_000;

	private final SlotQueue queue = new SlotQueue();

	private int sequence;

	// Guards against a flood of one account that delays the others' requests.
	@Test
	void accountsOfEqualPriorityAlternate() {
		for (int i = 0; i < 50; i++) {
			add("flood", 0, true, Long.MAX_VALUE, 10);
		}
		for (int i = 0; i < 5; i++) {
			add("other", 0, true, Long.MAX_VALUE, 10);
		}
		assertThat(pollAccounts(11).stream().filter("other"::equals).count()).isEqualTo(5);
	}

	// Guards against accounts that count by requests, so that one with long requests gets
	// more time in slots.
	@Test
	void accountsShareTimeInSlots() {
		for (int i = 0; i < 40; i++) {
			add("long", 0, true, Long.MAX_VALUE, 30);
			add("short", 0, true, Long.MAX_VALUE, 10);
		}
		assertThat(pollAccounts(40).stream().filter("long"::equals).count()).isEqualTo(10);
	}

	// Guards against an account that collects credit while it sends nothing and then
	// delays the others.
	@Test
	void idleAccountGetsNoCredit() {
		for (int i = 0; i < 60; i++) {
			add("steady", 0, true, Long.MAX_VALUE, 10);
		}
		pollAccounts(30);
		for (int i = 0; i < 30; i++) {
			add("idle", 0, true, Long.MAX_VALUE, 10);
		}
		assertThat(pollAccounts(20).stream().filter("idle"::equals).count()).isAtMost(11);
	}

	// Guards against the order of arrival within an account, and against requests without
	// an objective that overtake others.
	@Test
	void leastSlackIsFirstWithinAccount() {
		add("a", 0, true, Long.MAX_VALUE, 10);
		add("a", 0, true, 500, 10);
		add("a", 0, true, 100, 10);
		assertThat(List.of(pollSequence(), pollSequence(), pollSequence())).containsExactly(3L, 2L, 1L).inOrder();
	}

	// Guards against requests that become late while they wait and keep their place.
	@Test
	void requestThatBecomesLateMovesBehindOthers() {
		add("a", 0, true, 50, 10);
		add("a", 0, true, 500, 10);
		assertThat(sequence(this.queue.poll(60 * MS, (entry) -> true))).isEqualTo(2);
	}

	// Guards against late requests that are held until their deadline while the pool is
	// overloaded.
	@Test
	void lateRequestIsServedAfterEightOthers() {
		add("a", 0, true, -1, 10);
		for (int i = 0; i < 20; i++) {
			add("a", 0, true, 500, 10);
		}
		int position = 1;
		while (pollSequence() != 1) {
			position++;
		}
		assertThat(position).isEqualTo(9);
	}

	// Guards against an urgent request that waits behind a less urgent one of its stage,
	// also when late requests get their share, and against lost requests.
	@Property(tries = 200, seed = "42")
	void urgentRequestIsNeverBehindLessUrgentOneOfItsStage(
			@ForAll @Size(min = 1, max = 60) List<@IntRange(max = 63) Integer> requests) {
		SlotQueue tested = new SlotQueue();
		List<QueuedRequest> waiting = new ArrayList<>();
		for (int code : requests) {
			QueuedRequest entry = entry("a" + code / 16, code % 4, code / 4 % 2 == 0, (code / 8 % 2 == 0) ? 100 : -1,
					10, waiting.size());
			waiting.add(entry);
			tested.add(entry, 0);
		}
		for (int i = 0; i < requests.size(); i++) {
			QueuedRequest next = tested.poll(0, (entry) -> true);
			assertThat(waiting.remove(next)).isTrue();
			for (QueuedRequest other : waiting) {
				boolean inTime = other.lateAtNanos() >= 0;
				assertThat(next != null && inTime && other.request().programStarted() == next.request().programStarted()
						&& other.request().priority() < next.request().priority())
					.isFalse();
			}
		}
		assertThat(tested.isEmpty()).isTrue();
	}

	private void add(String account, int priority, boolean started, long lateInMs, double costMs) {
		this.queue.add(entry(account, priority, started, lateInMs, costMs, ++this.sequence), 0);
	}

	private static QueuedRequest entry(String account, int priority, boolean started, long lateInMs, double costMs,
			int sequence) {
		SlotRequest request = new SlotRequest("r" + sequence, "d1", account, "", priority, started, lateInMs, 250, 3000,
				List.of(), 0, Set.of(), Set.of());
		long lateAt = (lateInMs != Long.MAX_VALUE) ? lateInMs * MS : lateInMs;
		return new QueuedRequest(request, (decision) -> {
		}, sequence, 0, 3000 * MS, lateAt, lateAt, costMs);
	}

	private List<String> pollAccounts(int count) {
		List<String> accounts = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			QueuedRequest entry = this.queue.poll(0, (candidate) -> true);
			accounts.add((entry != null) ? entry.request().account() : "none");
		}
		return accounts;
	}

	private long pollSequence() {
		return sequence(this.queue.poll(0, (entry) -> true));
	}

	private static long sequence(@Nullable QueuedRequest entry) {
		return (entry != null) ? entry.sequence() : -1;
	}

}

package org.hemlockgw.core.schedule;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a client account that displaces the requests of others, against
 * starvation of long programs, and against lost or duplicated requests.
 */
class FairQueueTests {

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	@Property(seed = "41", tries = 50)
	void backloggedAccountsAreServedByWeight(@ForAll @IntRange(min = 1, max = 8) int weight,
			@ForAll @IntRange(min = 50, max = 3_000) int cost) {
		FairQueue<String> queue = new FairQueue<>((account) -> account.equals("heavy") ? weight : 1);
		for (int i = 0; i < 4_000; i++) {
			queue.add(request("heavy", 0, cost, i));
			queue.add(request("light", 0, cost, i));
		}
		Map<String, Long> served = new HashMap<>();
		long total = 0;
		while (total < 4_000L * cost) {
			QueuedRequest<String> next = poll(queue);
			served.merge(next.account(), next.costTokens(), Long::sum);
			total += next.costTokens();
		}
		double ratio = (double) served.getOrDefault("heavy", 0L) / served.getOrDefault("light", 1L);
		assertThat(ratio).isWithin(0.1 * weight).of(weight);
	}

	@Example
	void backlogOfOneAccountDelaysAnotherByAtMostOneRound() {
		FairQueue<String> queue = new FairQueue<>((account) -> 1);
		for (int i = 0; i < 1_000; i++) {
			queue.add(request("flood", 0, 500, i));
		}
		queue.add(request("quiet", 0, 500, 2_000));
		int position = 1;
		while (!poll(queue).account().equals("quiet")) {
			position++;
		}
		assertThat((position - 1) * 500.0).isAtMost(FairQueue.QUANTUM_TOKENS);
	}

	@Example
	void leastAttainedServiceIsFirstAndWaitingOffsetsService() {
		FairQueue<String> queue = new FairQueue<>((account) -> 1);
		queue.add(request("a", 390_000, 10, 0));
		queue.add(request("a", 0, 10, 1_000));
		queue.add(request("a", 0, 10, 40_000));
		assertThat(poll(queue).enqueuedAt()).isEqualTo(START.plusMillis(1_000));
		assertThat(poll(queue).attainedTokens()).isEqualTo(390_000);
	}

	@Property(seed = "42", tries = 200)
	void everyRequestIsRemovedExactlyOnce(@ForAll @Size(max = 60) List<@IntRange(min = 0, max = 5) Integer> accounts,
			@ForAll @IntRange(min = 1, max = 3) int modulus) {
		FairQueue<String> queue = new FairQueue<>((account) -> 1);
		Set<String> expected = new HashSet<>();
		for (int i = 0; i < accounts.size(); i++) {
			QueuedRequest<String> request = request("a" + accounts.get(i), i * 100L, 100L * i + 1, i);
			queue.add(request);
			expected.add(request.payload());
		}
		Set<String> removed = new HashSet<>();
		queue.removeIf((r) -> r.attainedTokens() % modulus == 1)
			.forEach((r) -> assertThat(removed.add(r.payload())).isTrue());
		QueuedRequest<String> next;
		while ((next = queue.poll((r) -> true)) != null) {
			assertThat(removed.add(next.payload())).isTrue();
		}
		assertThat(removed).isEqualTo(expected);
		assertThat(queue.size()).isEqualTo(0);
		assertThat(queue.tokens()).isEqualTo(0);
	}

	@Example
	void ineligibleRequestKeepsItsPosition() {
		FairQueue<String> queue = new FairQueue<>((account) -> 1);
		queue.add(new QueuedRequest<>("a", 0, 10, START, true, "suspect"));
		queue.add(request("a", 0, 10, 5));
		assertThat(Objects.requireNonNull(queue.poll((r) -> !r.suspect())).suspect()).isFalse();
		assertThat(queue.poll((r) -> !r.suspect())).isNull();
		assertThat(poll(queue).payload()).isEqualTo("suspect");
	}

	private static QueuedRequest<String> poll(FairQueue<String> queue) {
		return Objects.requireNonNull(queue.poll((r) -> true));
	}

	private static QueuedRequest<String> request(String account, long attained, long cost, long enqueuedAtMs) {
		return new QueuedRequest<>(account, attained, cost, START.plusMillis(enqueuedAtMs), false,
				account + "-" + enqueuedAtMs);
	}

}

package org.hemlockgw.core.turn;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link TurnShard} and {@link ProgramBudget}.
 */
class TurnShardTests {

	private static final Instant START = Instant.ofEpochSecond(1000);

	private final TurnShard shard = new TurnShard();

	@Test
	void chainIsOrderedOldestFirstAndMayBranch() {
		add("a", null, 0);
		add("b", "a", 1);
		add("c", "b", 2);
		add("d", "a", 2);
		assertThat(ids("c")).containsExactly("a", "b", "c").inOrder();
		assertThat(ids("d")).containsExactly("a", "d").inOrder();
	}

	// Guards against building a truncated prompt from a chain with a missing turn.
	@Test
	void chainWithMissingTurnIsNotFound() {
		add("b", "a", 1);
		assertThat(this.shard.findChain("b")).isNull();
		assertThat(this.shard.findChain("x")).isNull();
	}

	// Guards against an endless loop over corrupt records.
	@Test
	void cyclicChainIsNotFound() {
		add("a", "b", 0);
		add("b", "a", 1);
		assertThat(this.shard.findChain("a")).isNull();
	}

	// Guards against ancestors that expire before the turn that continues them, also if
	// records are read in key order.
	@ParameterizedTest
	@CsvSource({ "true, 100, 3", "false, 100, 3", "true, 200, 0", "false, 200, 0" })
	void ancestorsAreRetainedAsLongAsNewestTurn(boolean oldestFirst, long secondsLater, int expected) {
		if (oldestFirst) {
			add("a", null, 0);
			add("b", "a", 50);
			add("c", "b", 90);
		}
		else {
			add("c", "b", 90);
			add("b", "a", 50);
			add("a", null, 0);
		}
		this.shard.expire(START.plusSeconds(secondsLater), Duration.ofSeconds(5));
		List<TurnRecord> chain = this.shard.findChain("c");
		assertThat((chain != null) ? chain.size() : 0).isEqualTo(expected);
	}

	// Guards against ancestors that expire while a turn that continues them is open.
	@ParameterizedTest
	@CsvSource({ "false, 0", "true, 3" })
	void ancestorsOfOpenTurnAreRetained(boolean retained, int expected) {
		add("a", null, 0);
		add("b", "a", 50);
		if (retained) {
			this.shard.retainChain("b", START.plusSeconds(160));
		}
		this.shard.expire(START.plusSeconds(150), Duration.ofSeconds(5));
		add("c", "b", 155);
		List<TurnRecord> chain = this.shard.findChain("c");
		assertThat((chain != null) ? chain.size() : 0).isEqualTo(expected);
	}

	// Guards against ancestors that expire after a restart while a turn that continues
	// them is open.
	@ParameterizedTest
	@CsvSource({ "b, 3", "a, 0", "'', 0" })
	void ancestorsOfOpenTurnAreRetainedAfterRestart(String parent, int expected) {
		ProgramBudget budget = new ProgramBudget(START.plusSeconds(160));
		budget.reserve("c", 100, new ProgramBudget.Reservation(40, parent.isEmpty() ? null : parent));
		this.shard.restoreBudget("p", budget);
		add("a", null, 0);
		add("b", "a", 50);
		this.shard.retainOpenChains();
		this.shard.expire(START.plusSeconds(150), Duration.ofSeconds(5));
		add("c", "b", 155);
		List<TurnRecord> chain = this.shard.findChain("c");
		assertThat((chain != null) ? chain.size() : 0).isEqualTo(expected);
	}

	@Test
	void expireReturnsRemovedTurnsAndBudgets() {
		add("a", null, 0);
		this.shard.getOrCreateBudget("p", START, Duration.ofSeconds(60));
		TurnShard.Expired expired = this.shard.expire(START.plusSeconds(100), Duration.ZERO);
		assertThat(expired.turns()).containsExactly("a");
		assertThat(expired.programs()).containsExactly("p");
		assertThat(this.shard.findBudget("p")).isNull();
	}

	// Guards against concurrent turns that together exceed the budget.
	@ParameterizedTest
	@CsvSource({ "300, 100, 3", "299, 100, 2", "100, 100, 1", "99, 100, 0", "0, 1, 0" })
	void openTurnsReserveTheirMaximumTokens(long limit, int maxTokens, int admitted) {
		ProgramBudget budget = new ProgramBudget(START);
		int granted = 0;
		for (int turn = 0; turn < 5; turn++) {
			granted += budget.reserve("t" + turn, limit, tokens(maxTokens)) ? 1 : 0;
		}
		assertThat(granted).isEqualTo(admitted);
	}

	@Test
	void settleReleasesUnusedReservation() {
		ProgramBudget budget = new ProgramBudget(START);
		assertThat(budget.reserve("a", 100, tokens(80))).isTrue();
		assertThat(budget.reserve("a", 100, tokens(80))).isTrue();
		assertThat(budget.reserve("b", 100, tokens(80))).isFalse();
		budget.settle("a", 20);
		assertThat(budget.spent()).isEqualTo(20);
		assertThat(budget.reserve("b", 100, tokens(80))).isTrue();
	}

	// Guards against charging a turn twice when its end is sent again. The budget of the
	// program would then be reported as exhausted too early.
	@ParameterizedTest
	@CsvSource({ "true, 1", "true, 2", "true, 5", "false, 1", "false, 2", "false, 5" })
	void repeatedSettlementIsChargedOnce(boolean reserved, int settlements) {
		ProgramBudget budget = new ProgramBudget(START);
		if (reserved) {
			assertThat(budget.reserve("t1", 100, tokens(40))).isTrue();
		}
		for (int i = 0; i < settlements; i++) {
			budget.settle("t1", 30);
		}
		assertThat(budget.spent()).isEqualTo(30);
		assertThat(budget.reserve("t2", 100, tokens(70))).isTrue();
		budget.settle("t2", 70);
		assertThat(budget.spent()).isEqualTo(100);
	}

	private static ProgramBudget.Reservation tokens(int count) {
		return new ProgramBudget.Reservation(count, null);
	}

	private void add(String id, @Nullable String parent, long second) {
		this.shard.add(new TurnRecord(id, "p", parent, new byte[0], new byte[0], START.plusSeconds(second),
				Duration.ofSeconds(60)));
	}

	private List<String> ids(String newest) {
		List<TurnRecord> chain = this.shard.findChain(newest);
		return (chain != null) ? chain.stream().map(TurnRecord::id).toList() : List.of();
	}

}

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
	void chainIsOldestFirstAndMayBranch() {
		add("a", null, 0);
		add("b", "a", 1);
		add("c", "b", 2);
		add("d", "a", 2);
		assertThat(ids("c")).containsExactly("a", "b", "c").inOrder();
		assertThat(ids("d")).containsExactly("a", "d").inOrder();
	}

	// Guards against a shortened prompt when a part of the chain is missing.
	@Test
	void chainWithAMissingPartIsNotHere() {
		add("b", "a", 1);
		assertThat(this.shard.findChain("b")).isNull();
		assertThat(this.shard.findChain("x")).isNull();
	}

	// Guards against an endless walk through damaged records.
	@Test
	void chainThatContinuesItselfIsNotHere() {
		add("a", "b", 0);
		add("b", "a", 1);
		assertThat(this.shard.findChain("a")).isNull();
	}

	// Guards against ancestors that expire before the turn that continues them, also if
	// records are read in the order of their keys.
	@ParameterizedTest
	@CsvSource({ "true, 100, 3", "false, 100, 3", "true, 200, 0", "false, 200, 0" })
	void ancestorsAreKeptAsLongAsTheNewestTurn(boolean oldestFirst, long secondsLater, int expected) {
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

	@Test
	void expiredTurnsAndBudgetsAreNamed() {
		add("a", null, 0);
		this.shard.getOrCreateBudget("p", START, Duration.ofSeconds(60));
		TurnShard.Expired expired = this.shard.expire(START.plusSeconds(100), Duration.ZERO);
		assertThat(expired.turns()).containsExactly("a");
		assertThat(expired.programs()).containsExactly("p");
		assertThat(this.shard.findBudget("p")).isNull();
	}

	// Guards against a budget that parallel turns exceed together.
	@ParameterizedTest
	@CsvSource({ "300, 100, 3", "299, 100, 2", "100, 100, 1", "99, 100, 0", "0, 1, 0" })
	void openTurnsCountWithTheirLargestSize(long limit, int most, int admitted) {
		ProgramBudget budget = new ProgramBudget(START);
		int granted = 0;
		for (int turn = 0; turn < 5; turn++) {
			granted += budget.reserve("t" + turn, limit, most) ? 1 : 0;
		}
		assertThat(granted).isEqualTo(admitted);
	}

	@Test
	void settlingReturnsWhatWasNotUsed() {
		ProgramBudget budget = new ProgramBudget(START);
		assertThat(budget.reserve("a", 100, 80)).isTrue();
		assertThat(budget.reserve("a", 100, 80)).isTrue();
		assertThat(budget.reserve("b", 100, 80)).isFalse();
		budget.settle("a", 20);
		assertThat(budget.spent()).isEqualTo(20);
		assertThat(budget.reserve("b", 100, 80)).isTrue();
	}

	// Guards against a turn that is charged twice because its end is sent again: the
	// program would be told too early that its budget is spent.
	@ParameterizedTest
	@CsvSource({ "true, 1", "true, 2", "true, 5", "false, 1", "false, 2", "false, 5" })
	void endThatIsSentAgainIsChargedOnce(boolean reserved, int ends) {
		ProgramBudget budget = new ProgramBudget(START);
		if (reserved) {
			assertThat(budget.reserve("t1", 100, 40)).isTrue();
		}
		for (int i = 0; i < ends; i++) {
			budget.settle("t1", 30);
		}
		assertThat(budget.spent()).isEqualTo(30);
		assertThat(budget.reserve("t2", 100, 70)).isTrue();
		budget.settle("t2", 70);
		assertThat(budget.spent()).isEqualTo(100);
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

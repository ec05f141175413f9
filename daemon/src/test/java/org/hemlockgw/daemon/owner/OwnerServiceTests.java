package org.hemlockgw.daemon.owner;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;

import static com.google.common.truth.Truth.assertThat;

class OwnerServiceTests {

	private static final ProgramId PROGRAM = new ProgramId("a", "p");

	private static final List<Message> PROMPT = List.of(new Message("user", "one two three"));

	@Example
	void turnAndServiceCallRunOnceAndTheirRepeatsGetTheSameAnswer() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			String expected = FakeDispatcher.answer(PROMPT, 5);
			OwnerFixture.Answer first = OwnerFixture.get(f.turn(PROGRAM, "k1", 1, PROMPT, 5));
			OwnerFixture.Answer repeat = OwnerFixture.get(f.turn(PROGRAM, "k1", 1, PROMPT, 5));
			OwnerFixture.get(f.order(PROGRAM, "k2", 2, false));
			OwnerFixture.Answer order = OwnerFixture.get(f.order(PROGRAM, "k2", 2, false));
			assertThat(first.delivered()).isEqualTo(expected);
			assertThat(repeat.delivered()).isEqualTo(expected);
			assertThat(new String(order.result().body(), StandardCharsets.UTF_8)).isEqualTo("k2 done");
			assertThat(f.dispatcher.requests).hasSize(1);
			assertThat(f.service.executions("a/p/k2")).isEqualTo(1);
			ProgramView ended = OwnerFixture.get(f.owner.end(PROGRAM));
			assertThat(ended.state()).isEqualTo(ProgramState.ENDED);
			assertThat(ended.spentTokens()).isEqualTo(first.result().usage().chargedTokens());
			assertThat(f.dispatcher.released).containsExactly("e1 a/p");
			assertThat(OwnerFixture.failure(f.order(PROGRAM, "k3", 0, false)).verdict()).isEqualTo(Verdict.NOT_RUN);
		}
	}

	// Guards against a planned hand-over after which a program has spent what it was
	// merely granted.
	@Property(tries = 20)
	void plannedHandOverLeavesWhatWasNotSpent(@ForAll @IntRange(min = 0, max = 3) int turns,
			@ForAll @LongRange(min = 200, max = 100_000) long budget) {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, budget);
			long spent = 0;
			for (int i = 0; i < turns; i++) {
				spent += OwnerFixture.get(f.append(PROGRAM, "k" + i, 0, "one two", 5)).result().usage().chargedTokens();
			}
			OwnerFixture.get(f.owner.quiesce(PROGRAM.shard()));
			LedgerState fold = LedgerState.ofShards(Map.of(PROGRAM.shard(), 1L));
			fold.startLedger("predecessor");
			List<LedgerRecord> records = new ArrayList<>();
			records.add(new LedgerRecord.EpochOpened(Set.of(PROGRAM.shard()), 1, true));
			records.addAll(f.ledger.records(LedgerRecord.class));
			fold.apply(new LedgerBatch("predecessor", 0, 0, records));
			LedgerRecord.ProgramRecord found = Objects.requireNonNull(fold.settleForTakeOver().get(PROGRAM));
			assertThat(found.settled()).isEqualTo(spent);
			assertThat(found.granted()).isEqualTo(spent);
			assertThat(found.turns()).isEqualTo(turns);
		}
	}

}

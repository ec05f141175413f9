package org.hemlockgw.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerRecord.Charged;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Ended;
import org.hemlockgw.core.ledger.LedgerRecord.EpochOpened;
import org.hemlockgw.core.ledger.LedgerRecord.Granted;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Seal;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.Usage;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class LedgerStateTests {

	private static final Instant AT = Instant.parse("2026-01-01T00:00:00Z");

	private static final ProgramId ROOT = new ProgramId("account", "root");

	private static final ShardId SHARD = ROOT.shard();

	private static final List<ProgramId> TREE = List.of(ROOT, ROOT.child(1), ROOT.child(2), ROOT.child(1).child(1));

	// Guards against the loss of a program that reuses the name of an ended one: its
	// records were dropped because the state still contained the ended program.
	@Example
	void reopenedProgramReplacesEndedProgram() {
		LedgerState state = withLedgerStarted(LedgerState.ofAllShards());
		apply(state, 0, opened(ROOT, 1000, 10));
		apply(state, 1, new Ended(ROOT, ProgramState.ENDED, AT));
		apply(state, 2, opened(ROOT, 500, 10));
		assertThat(Objects.requireNonNull(state.programs().get(ROOT)).state()).isEqualTo(ProgramState.RUNNING);
		assertThat(Objects.requireNonNull(state.programs().get(ROOT)).budget()).isEqualTo(500);
	}

	// Guards against a program tree that spends more than the budget of its root program.
	@Property(seed = "11", tries = 1000, shrinking = ShrinkingMode.OFF)
	void settledNeverExceedsGrantedAndGrantedNeverExceedsBudget(@ForAll @IntRange(max = 1_000_000) int seed) {
		Random random = new Random(seed);
		LedgerState state = withLedgerStarted(LedgerState.ofAllShards());
		apply(state, 0, opened(ROOT, 1000, 10));
		for (int i = 1; i < 60; i++) {
			apply(state, i, randomRecord(random, i));
			state.programs().forEach(LedgerStateTests::checkBudget);
			checkConservation(state.programs());
		}
		state.settleForTakeOver().forEach((id, program) -> {
			checkBudget(id, program);
			if (program.state() == ProgramState.RUNNING) {
				assertThat(program.settled()).isEqualTo(program.granted());
			}
		});
	}

	private static LedgerRecord randomRecord(Random random, int i) {
		ProgramId program = TREE.get(random.nextInt(TREE.size()));
		int amount = random.nextInt(400);
		return switch (random.nextInt(5)) {
			case 0 -> opened(program, amount, amount / 2);
			case 1 -> new Granted(program, amount);
			case 2 -> turn(program, "r" + i, amount);
			case 3 -> new Charged(program, "r" + i, amount);
			default ->
				(program.equals(ROOT)) ? new Granted(program, amount) : new Ended(program, ProgramState.ENDED, AT);
		};
	}

	private static void checkBudget(ProgramId id, ProgramRecord program) {
		assertWithMessage("settled of %s", id).that(program.settled()).isAtLeast(0L);
		assertWithMessage("granted of %s", id).that(program.granted()).isAtLeast(program.settled());
		assertWithMessage("budget of %s", id).that(program.budget()).isAtLeast(program.granted());
	}

	// The settled tokens of a parent must cover the budgets of its running children.
	private static void checkConservation(Map<ProgramId, ProgramRecord> programs) {
		long children = 0;
		for (int n = 1; n <= 2; n++) {
			ProgramRecord child = programs.get(ROOT.child(n));
			if (child != null) {
				children += (child.state() == ProgramState.RUNNING) ? child.budget() : child.settled();
			}
		}
		assertThat(program(programs, ROOT).settled()).isAtLeast(children);
	}

	// Guards against an ended child whose unspent budget is not returned to its parent,
	// or is returned twice.
	@Example
	void endedChildReturnsUnspentBudgetToParent() {
		LedgerState state = withLedgerStarted(LedgerState.ofAllShards());
		apply(state, 0, opened(ROOT, 1000, 500), opened(ROOT.child(1), 300, 100));
		assertThat(program(state.programs(), ROOT).settled()).isEqualTo(300);
		apply(state, 1, turn(ROOT.child(1), "r1", 120));
		Ended ended = new Ended(ROOT.child(1), ProgramState.ENDED, AT);
		apply(state, 2, ended, ended);
		assertThat(program(state.programs(), ROOT).settled()).isEqualTo(120);
	}

	// Guards against a turn that is charged twice because its batch was appended twice.
	@Example
	void duplicateBatchIsAppliedOnce() {
		LedgerState state = withLedgerStarted(LedgerState.ofAllShards());
		LedgerBatch batch = new LedgerBatch("writer", 1, 0, List.of(new Charged(ROOT, "r", 30)));
		apply(state, 0, opened(ROOT, 1000, 500));
		assertThat(state.apply(batch)).isTrue();
		assertThat(state.apply(batch)).isFalse();
		assertThat(program(state.programs(), ROOT).settled()).isEqualTo(30);
	}

	// Guards against applying records of a fenced owner, and against losing records after
	// a shard returned to the same incarnation.
	@Example
	void recordsAfterSealAreVoidUntilHigherEpochIsOpened() {
		LedgerState state = withLedgerStarted(LedgerState.ofShards(Map.of(SHARD, 1L)));
		apply(state, 0, new EpochOpened(Set.of(SHARD), 1, true), opened(ROOT, 1000, 500));
		state.apply(new LedgerBatch("successor", 0, 0, List.of(new Seal(Set.of(SHARD), 2, "successor"))));
		apply(state, 1, new Charged(ROOT, "void", 7));
		assertThat(program(state.programs(), ROOT).settled()).isEqualTo(0);
		apply(state, 2, new EpochOpened(Set.of(SHARD), 3, false), new Charged(ROOT, "counts", 5));
		state.apply(new LedgerBatch("successor", 1, 0, List.of(new Seal(Set.of(SHARD), 2, "successor"))));
		apply(state, 3, new Charged(ROOT, "late seal", 6));
		assertThat(program(state.programs(), ROOT).settled()).isEqualTo(11);
	}

	// Guards against a successor that resends a non-idempotent call or abandons an
	// idempotent one.
	@Example
	void takeOverClosesIntentsAndKeepsDispatchedTurnsOpen() {
		LedgerState state = withLedgerStarted(LedgerState.ofAllShards());
		apply(state, 0, opened(ROOT, 1000, 500), new Intent(ROOT, "publish", "d", 1, "service", AT),
				new Dispatched(ROOT, "turn", "attempt", "engine", 0));
		ProgramRecord program = program(state.settleForTakeOver(), ROOT);
		assertThat(program.outcomes().get(0).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(program.outcomes().get(1).verdict()).isNull();
		assertThat(program.outcomes().get(1).open()).hasSize(1);
		assertThat(program.lastStep()).isEqualTo(1);
	}

	// Guards against messages that are lost or duplicated by a checkpoint.
	@Example
	void checkpointReplacesEarlierRecords() {
		LedgerState state = withLedgerStarted(LedgerState.ofAllShards());
		apply(state, 0, opened(ROOT, 1000, 500), turn(ROOT, "r1", 10));
		List<LedgerRecord> checkpoint = new ArrayList<>();
		checkpoint.add(new EpochOpened(Set.of(SHARD), 0, true));
		LedgerState.checkpoints(state.programs()).values().forEach(checkpoint::addAll);
		Map<ProgramId, ProgramRecord> before = state.programs();
		apply(state, 1, checkpoint.toArray(LedgerRecord[]::new));
		assertThat(state.programs()).isEqualTo(before);
		apply(state, 2, turn(ROOT, "r2", 10));
		assertThat(program(state.programs(), ROOT).messages()).hasSize(4);
	}

	private static LedgerState withLedgerStarted(LedgerState state) {
		state.startLedger("writer");
		return state;
	}

	private static void apply(LedgerState state, long sequence, LedgerRecord... records) {
		state.apply(new LedgerBatch("writer", sequence, 0, List.of(records)));
	}

	private static ProgramRecord program(Map<ProgramId, ProgramRecord> programs, ProgramId id) {
		return Objects.requireNonNull(programs.get(id));
	}

	private static Opened opened(ProgramId program, long budget, long granted) {
		return new Opened(program, budget, granted, 65, AT, AT);
	}

	private static TurnCompleted turn(ProgramId program, String request, long tokens) {
		return new TurnCompleted(program, request, 0, List.of(new Message("user", "q")), new Message("assistant", "a"),
				new Usage(tokens, 0, 0), "stop", "engine", "digest", AT);
	}

}

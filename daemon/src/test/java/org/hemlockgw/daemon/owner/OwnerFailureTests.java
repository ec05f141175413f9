package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import net.jqwik.api.Example;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.ledger.LedgerRecord.CallEnded;
import org.hemlockgw.core.ledger.LedgerRecord.Checkpoint;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;

import static com.google.common.truth.Truth.assertThat;

class OwnerFailureTests {

	private static final ProgramId PROGRAM = new ProgramId("a", "p");

	private static final ProgramId CHILD = PROGRAM.child(1);

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			TimeUnit.MILLISECONDS.sleep(2);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	private static CallRequest withDeadline(String key, long step, Duration left) {
		return new CallRequest(PROGRAM, key, step, CallKind.SERVICE, "shop", false, false, List.of(), 0, "/order",
				new byte[0], Instant.now().plus(left), "");
	}

	// Guards against a call that runs without its predecessor or waits for it forever.
	@Example
	void callWithoutItsPredecessorFailsNotRunAtItsDeadline() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 1000);
			CallFailure failure = OwnerFixture.failure(f.call(withDeadline("k2", 2, Duration.ofMillis(100))));
			assertThat(failure.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
			assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
			OwnerFixture.get(f.order(PROGRAM, "k1", 1, false));
			assertThat(f.service.calls.keySet()).containsExactly("a/p/k1");
		}
	}

	// Guards against turns that stop in a log outage, against side effects without a
	// durable intent, and against memory that grows with new programs.
	@Example
	void outageLetsTurnsGoOnAndRefusesIntentsAndNewPrograms() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			f.ledger.outage(true, 0.6);
			CompletableFuture<OwnerFixture.Answer> turn = f.append(PROGRAM, "k1", 1, "hello", 3);
			CompletableFuture<Integer> recorded = turn.thenApply((a) -> f.ledger.records(TurnCompleted.class).size());
			CallFailure order = OwnerFixture.failure(f.order(PROGRAM, "k2", 2, false));
			assertThat(order.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
			assertThat(order.verdict()).isEqualTo(Verdict.NOT_RUN);
			CallFailure open = OwnerFixture
				.failure(f.owner.open(new OpenProgram(new ProgramId("a", "q"), 10, 1, Duration.ofHours(1))));
			assertThat(open.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
			assertThat(f.service.calls).isEmpty();
			assertThat(turn.isDone()).isFalse();
			f.ledger.outage(false, 0);
			assertThat(OwnerFixture.get(recorded)).isEqualTo(1);
			OwnerFixture.Answer answer = OwnerFixture.get(turn);
			assertThat(answer.events()).hasSize(3);
			assertThat(answer.result().durable()).isTrue();
			OwnerFixture.get(f.order(PROGRAM, "k2", 2, false));
			assertThat(f.service.executions("a/p/k2")).isEqualTo(1);
		}
	}

	// Guards against an answer that its caller has and that is lost with all daemons.
	@Example
	void resultIsNotReleasedBeforeItsRecordIsDurable() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			f.ledger.outage(true, 0);
			f.patience = Duration.ofMillis(500);
			assertNotRecorded(f.append(PROGRAM, "k1", 1, "hello", 3));
			assertNotRecorded(f.append(PROGRAM, "k1", 1, "hello", 3));
			assertNotRecorded(f.order(PROGRAM, "k2", 2, true));
			assertNotRecorded(f.order(PROGRAM, "k2", 2, true));
			f.patience = Duration.ofSeconds(10);
			CompletableFuture<OwnerFixture.Answer> turn = f.append(PROGRAM, "k1", 1, "hello", 3);
			CompletableFuture<OwnerFixture.Answer> order = f.order(PROGRAM, "k2", 2, true);
			assertThat(turn.isDone()).isFalse();
			assertThat(order.isDone()).isFalse();
			f.ledger.outage(false, 0);
			assertThat(OwnerFixture.get(turn).result().durable()).isTrue();
			assertThat(OwnerFixture.get(turn).result().turn()).isEqualTo(1);
			assertThat(OwnerFixture.get(order).result().status()).isEqualTo(200);
			assertThat(f.ledger.records(TurnCompleted.class)).hasSize(1);
			assertThat(f.dispatcher.requests).hasSize(1);
			assertThat(f.service.executions("a/p/k2")).isEqualTo(1);
		}
	}

	// Guards against a repeat that is answered although its record did not fit the
	// buffer.
	@Example
	void repeatWritesRecordThatWasRefused() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			f.ledger.mode(FakeLedger.Mode.FULL);
			assertNotRecorded(f.order(PROGRAM, "k", 1, true));
			assertNotRecorded(f.order(PROGRAM, "k", 1, true));
			f.ledger.mode(FakeLedger.Mode.DURABLE);
			assertThat(OwnerFixture.get(f.order(PROGRAM, "k", 1, true)).result().durable()).isTrue();
			assertThat(f.service.executions("a/p/k")).isEqualTo(1);
			Checkpoint written = f.ledger.records(Checkpoint.class).get(0);
			assertThat(written.state().outcomes().get(0).verdict()).isEqualTo(Verdict.RAN);
		}
	}

	private static void assertNotRecorded(CompletableFuture<?> call) {
		CallFailure failure = OwnerFixture.failure(call);
		assertThat(failure.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	// Guards against sending a call whose intent becomes durable after its refusal.
	@Example
	void intentThatIsNotDurableInTimeIsNeverSent() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 1000);
			f.ledger.mode(FakeLedger.Mode.HELD);
			CallFailure failure = OwnerFixture.failure(f.order(PROGRAM, "k", 1, false));
			assertThat(failure.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
			assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
			f.ledger.outage(false, 0);
			assertThat(f.ledger.records(Intent.class)).hasSize(1);
			assertThat(f.ledger.records(CallEnded.class).get(0).verdict()).isEqualTo(Verdict.NOT_RUN);
			OwnerFixture.get(f.order(PROGRAM, "k", 1, false));
			assertThat(f.service.executions("a/p/k")).isEqualTo(1);
		}
	}

	// Guards against engine memory, children and calls that outlive their program.
	@Example
	void endCancelsCallsEndsChildrenAndReleasesTheirSessions() throws InterruptedException {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			f.open(CHILD, 10_000);
			f.dispatcher.plans = (request) -> FakeDispatcher.Plan.hangAfter(2);
			CompletableFuture<?> running = f.append(CHILD, "k1", 1, "hello", 5);
			CompletableFuture<?> waiting = f.append(CHILD, "k2", 2, "more", 5);
			await(() -> f.dispatcher.tokensUsed.containsKey(CHILD));
			ProgramView ended = OwnerFixture.get(f.owner.end(PROGRAM));
			assertThat(OwnerFixture.failure(running).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			CallFailure never = OwnerFixture.failure(waiting);
			assertThat(never.code()).isEqualTo(ErrorCode.PROGRAM_ENDED);
			assertThat(never.verdict()).isEqualTo(Verdict.NOT_RUN);
			ProgramView child = OwnerFixture.get(f.owner.get(CHILD));
			assertThat(child.state()).isEqualTo(ProgramState.ENDED);
			assertThat(child.reservedTokens()).isEqualTo(0);
			assertThat(child.spentTokens()).isGreaterThan(0);
			assertThat(ended.spentTokens()).isEqualTo(child.spentTokens());
			assertThat(f.dispatcher.released).containsExactly("e1 a/p.1");
		}
	}

	// Guards against programs that are never ended by their callers.
	@Example
	void idleAndExpiredProgramsAreEnded() throws InterruptedException {
		try (OwnerFixture f = new OwnerFixture()) {
			ProgramId brief = new ProgramId("a", "q");
			f.open(PROGRAM, 1000);
			OwnerFixture.get(f.owner.open(new OpenProgram(brief, 1000, 5, Duration.ofMinutes(10))));
			OwnerFixture.get(f.append(PROGRAM, "k1", 1, "hello", 2));
			f.clockOffset = Duration.ofMinutes(11);
			await(() -> OwnerFixture.get(f.owner.get(brief)).state() == ProgramState.EXPIRED);
			assertThat(OwnerFixture.get(f.owner.get(PROGRAM)).state()).isEqualTo(ProgramState.RUNNING);
			f.clockOffset = Duration.ofMinutes(61);
			await(() -> f.dispatcher.released.equals(List.of("e1 a/p")));
			assertThat(OwnerFixture.get(f.owner.get(PROGRAM)).state()).isEqualTo(ProgramState.EXPIRED);
			CallFailure late = OwnerFixture.failure(f.append(PROGRAM, "k2", 2, "more", 2));
			assertThat(late.code()).isEqualTo(ErrorCode.PROGRAM_ENDED);
			assertThat(OwnerFixture.get(f.append(PROGRAM, "k1", 1, "hello", 2)).result().turn()).isEqualTo(1);
		}
	}

	// Guards against content that takes one engine after another down, and against
	// stopping other requests with it.
	@Example
	void contentThatKillsTwoEnginesIsQuarantinedUnderAnyIdentifier() {
		try (OwnerFixture f = new OwnerFixture()) {
			ProgramId other = new ProgramId("a", "q");
			f.open(PROGRAM, 100_000);
			f.open(other, 100_000);
			f.dispatcher.plans = (request) -> request.messages().get(0).content().equals("poison")
					? FakeDispatcher.Plan.die(1) : FakeDispatcher.Plan.OK;
			assertThat(OwnerFixture.failure(f.append(PROGRAM, "k", 1, "poison", 5)).code())
				.isEqualTo(ErrorCode.QUARANTINED);
			assertThat(f.dispatcher.requests).hasSize(2);
			assertThat(f.dispatcher.requests.get(1).suspect()).isTrue();
			CallFailure again = OwnerFixture.failure(f.append(other, "k9", 1, "poison", 5));
			assertThat(again.code()).isEqualTo(ErrorCode.QUARANTINED);
			assertThat(again.verdict()).isEqualTo(Verdict.NOT_RUN);
			assertThat(f.dispatcher.requests).hasSize(2);
			assertThat(f.control.get(0)).isInstanceOf(ControlRecord.Quarantine.class);
			OwnerFixture.get(f.append(other, "k10", 1, "harmless", 5));
		}
	}

	// Guards against a message that many programs continue with and that is quarantined
	// because engines died while some of them did.
	@Example
	void sharedMessageIsServedAfterEnginesDied() {
		try (OwnerFixture f = new OwnerFixture()) {
			List<ProgramId> programs = List.of(PROGRAM, new ProgramId("a", "q"), new ProgramId("a", "r"));
			for (ProgramId program : programs) {
				f.open(program, 100_000);
				OwnerFixture.get(f.append(program, "k1", 1, "task of " + program, 2));
				Set<ProgramId> died = ConcurrentHashMap.newKeySet();
				f.dispatcher.plans = (request) -> died.add(request.program()) ? FakeDispatcher.Plan.die(0)
						: FakeDispatcher.Plan.OK;
				OwnerFixture.get(f.append(program, "k2", 2, "tool: ok", 2));
				f.dispatcher.plans = (request) -> FakeDispatcher.Plan.OK;
			}
			assertThat(f.control).isEmpty();
		}
	}

	// Guards against a program that hangs with the dispatcher of its engine.
	@Example
	void stalledDispatcherIsReplaced() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			f.dispatcher.plans = (request) -> request.engine().equals("e1") ? FakeDispatcher.Plan.hangAfter(2)
					: FakeDispatcher.Plan.OK;
			OwnerFixture.Answer answer = OwnerFixture.get(f.append(PROGRAM, "k", 1, "hello", 5));
			assertThat(answer.delivered()).isEqualTo(FakeDispatcher.answer(f.dispatcher.requests.get(0).messages(), 5));
			assertThat(f.dispatcher.requests.get(1).firstOffset()).isEqualTo(2);
		}
	}

	// Guards against running open calls of a lost owner without their callers, or sending
	// open non-idempotent ones again.
	@Example
	void successorRunsOpenTurnsOnRepeatAndNeverOpenOrders() throws InterruptedException {
		ProgramId program = new ProgramId("a", "q");
		Map<ProgramId, ProgramRecord> state;
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			f.open(program, 100_000);
			f.service.fates = (n) -> FakeService.Fate.HANG;
			f.dispatcher.plans = (request) -> FakeDispatcher.Plan.hangAfter(2);
			CompletableFuture<?> order = f.order(PROGRAM, "k", 1, false);
			CompletableFuture<?> turn = f.append(program, "k", 1, "hello", 5);
			await(() -> f.service.executions("a/p/k") == 1 && f.dispatcher.tokensUsed.containsKey(program));
			state = f.owner.snapshot(List.of(PROGRAM.shard(), program.shard()));
			f.owner.stopServing(PROGRAM.shard());
			f.owner.stopServing(program.shard());
			assertThat(OwnerFixture.failure(order).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(OwnerFixture.failure(turn).code()).isEqualTo(ErrorCode.NOT_OWNER);
			assertThat(OwnerFixture.failure(f.order(PROGRAM, "k", 1, false)).code()).isEqualTo(ErrorCode.NOT_OWNER);
		}
		try (OwnerFixture f = new OwnerFixture()) {
			f.adoptAfterLoss(state);
			assertThat(OwnerFixture.failure(f.order(PROGRAM, "k", 1, false)).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(f.service.calls).isEmpty();
			OwnerFixture.get(f.order(PROGRAM, "k2", 2, false));
			assertThat(f.dispatcher.requests).isEmpty();
			OwnerFixture.Answer answer = OwnerFixture.get(f.append(program, "k", 1, "hello", 5));
			assertThat(answer.events()).hasSize(5);
			assertThat(f.dispatcher.requests).hasSize(1);
		}
	}

	// Guards against a hand-over that cuts calls in flight or admits new ones.
	@Example
	void quiesceWaitsForOpenCallsAndRefusesNewOnes() throws InterruptedException {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			f.ledger.mode(FakeLedger.Mode.HELD);
			CompletableFuture<?> order = f.order(PROGRAM, "k", 1, false);
			CompletableFuture<?> next = f.order(PROGRAM, "k2", 2, false);
			CompletableFuture<Void> drained = f.owner.quiesce(PROGRAM.shard());
			assertThat(OwnerFixture.failure(next).code()).isEqualTo(ErrorCode.NOT_OWNER);
			assertThat(OwnerFixture.failure(f.order(PROGRAM, "k3", 0, false)).code()).isEqualTo(ErrorCode.NOT_OWNER);
			assertThat(drained.isDone()).isFalse();
			f.ledger.outage(false, 0);
			OwnerFixture.get(order);
			OwnerFixture.get(drained);
		}
	}

	// Guards against use of models, services and programs beyond an account's rights.
	@Example
	void accountChecksComeBeforeAnyWork() {
		try (OwnerFixture f = new OwnerFixture()) {
			ProgramId b = new ProgramId("b", "p");
			f.open(b, 1000);
			f.open(new ProgramId("b", "q"), 1000);
			try {
				f.open(new ProgramId("b", "r"), 1000);
				throw new AssertionError("a third program was opened");
			}
			catch (CallFailure ex) {
				assertThat(ex.code()).isEqualTo(ErrorCode.LIMIT_REACHED);
			}
			CallRequest foreign = new CallRequest(b, "k", 0, CallKind.SERVICE, "vault", false, false, List.of(), 0, "/",
					new byte[0], Instant.now().plusSeconds(5), "");
			assertThat(OwnerFixture.failure(f.call(foreign)).code()).isEqualTo(ErrorCode.NOT_FOUND);
			OwnerFixture.get(f.owner.end(b));
			f.open(new ProgramId("b", "r"), 1000);
		}
	}

}

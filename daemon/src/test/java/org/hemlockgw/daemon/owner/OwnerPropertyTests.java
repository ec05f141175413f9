package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.ledger.LedgerRecord.Charged;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramView;

import static com.google.common.truth.Truth.assertThat;

class OwnerPropertyTests {

	private static final ProgramId PROGRAM = new ProgramId("a", "p");

	private static final List<FakeLedger.Mode> MODES = List.of(FakeLedger.Mode.DURABLE, FakeLedger.Mode.VOID,
			FakeLedger.Mode.FULL);

	private static final List<FakeService.Fate> FATES = List.of(FakeService.Fate.OK, FakeService.Fate.REFUSED,
			FakeService.Fate.LOST_BEFORE, FakeService.Fate.LOST_AFTER);

	// Guards against calls of one program that overtake each other or run side by side.
	@Property(seed = "51", tries = 25)
	void callsRunInStepOrderWhateverTheArrival(@ForAll long seed, @ForAll @IntRange(min = 2, max = 10) int count) {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 1_000_000);
			List<Long> arrival = new ArrayList<>(LongStream.rangeClosed(1, count).boxed().toList());
			Collections.shuffle(arrival, new Random(seed));
			arrival.parallelStream()
				.map((step) -> f.append(PROGRAM, "k" + step, step, "m" + step, 3))
				.toList()
				.forEach(OwnerFixture::get);
			List<String> sent = f.dispatcher.requests.stream()
				.map((request) -> request.messages().get(request.messages().size() - 1).content())
				.toList();
			assertThat(sent).isEqualTo(LongStream.rangeClosed(1, count).mapToObj((step) -> "m" + step).toList());
			assertThat(f.dispatcher.maxInFlight).containsExactly(PROGRAM, 1);
		}
	}

	// Guards against spending beyond the budget when children and failing attempts spend
	// at
	// the same time, and against a ledger that tells a successor of less than was spent.
	@Property(seed = "52", tries = 25)
	void treeNeverSpendsBeyondItsBudget(@ForAll long seed, @ForAll @IntRange(min = 200, max = 3000) int limit) {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, limit);
			Random random = new Random(seed);
			f.dispatcher.plans = (request) -> ((request.attemptId().hashCode() & 3) == 0) ? FakeDispatcher.Plan.die(2)
					: FakeDispatcher.Plan.OK;
			List<ProgramId> tree = new ArrayList<>(List.of(PROGRAM));
			List<CompletableFuture<?>> open = new ArrayList<>();
			for (int i = 0; i < 24; i++) {
				ProgramId id = tree.get(random.nextInt(tree.size()));
				if (random.nextInt(4) == 0 && id.depth() < 3) {
					tryOpen(f, id.child(i), limit / 5, tree);
				}
				open.add(f.append(id, "k" + i, 0, seed + " text " + i, 1 + random.nextInt(20)));
				if (random.nextInt(8) == 0 && id.depth() > 0) {
					open.add(f.owner.end(id));
				}
			}
			open.forEach((call) -> OwnerFixture.get(call.handle((result, error) -> 0)));
			long used = f.dispatcher.tokensUsed.values().stream().mapToLong(Number::longValue).sum();
			assertThat(used).isAtMost(limit);
			ProgramView root = OwnerFixture.get(f.owner.end(PROGRAM));
			assertThat(root.spentTokens()).isAtMost(limit);
			assertThat(root.spentTokens()).isAtLeast(used);
			long recorded = f.ledger.records(TurnCompleted.class)
				.stream()
				.mapToLong((turn) -> turn.usage().chargedTokens())
				.sum() + f.ledger.records(Charged.class).stream().mapToLong(Charged::tokens).sum();
			assertThat(recorded).isEqualTo(root.spentTokens());
		}
	}

	private static void tryOpen(OwnerFixture f, ProgramId id, long budget, List<ProgramId> tree) {
		try {
			f.open(id, budget);
			tree.add(id);
		}
		catch (CallFailure ex) {
			assertThat(ex.verdict()).isEqualTo(Verdict.NOT_RUN);
		}
	}

	// Guards against a second execution of a non-idempotent call, and against the verdict
	// NOT_RUN for a call that was executed.
	@Property(seed = "53", tries = 60)
	void nonIdempotentCallRunsAtMostOnce(@ForAll @Size(min = 1, max = 4) List<@IntRange(max = 3) Integer> fates,
			@ForAll @IntRange(min = 1, max = 4) int duplicates, @ForAll @IntRange(max = 2) int ledgerMode) {
		FakeLedger.Mode mode = MODES.get(ledgerMode);
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 1000);
			f.ledger.mode(mode);
			f.patience = Duration.ofMillis(500);
			f.service.fates = (n) -> FATES.get(fates.get(Math.min(n, fates.size() - 1)));
			List<CompletableFuture<OwnerFixture.Answer>> calls = IntStream.range(0, duplicates)
				.parallel()
				.mapToObj((i) -> f.order(PROGRAM, "k", 1, false))
				.toList();
			calls.forEach((call) -> checkVerdict(f, call));
			checkVerdict(f, f.order(PROGRAM, "k", 1, false));
			assertThat(f.service.executions("a/p/k")).isAtMost(1);
			if (mode != FakeLedger.Mode.DURABLE) {
				assertThat(f.service.calls).isEmpty();
			}
			assertThat(f.ledger.records(Intent.class).isEmpty()).isEqualTo(f.service.calls.isEmpty());
		}
	}

	private static void checkVerdict(OwnerFixture f, CompletableFuture<OwnerFixture.Answer> call) {
		try {
			OwnerFixture.get(call);
			assertThat(f.service.executions("a/p/k")).isEqualTo(1);
		}
		catch (CallFailure ex) {
			if (ex.verdict() == Verdict.NOT_RUN) {
				assertThat(f.service.executions("a/p/k")).isEqualTo(0);
			}
		}
	}

	// Guards against gaps, repeats or a lost rest of an answer when engines die at any
	// token, hand work back, or lose and reorder events.
	@Property(seed = "54", tries = 60)
	void everyCallerGetsTheWholeAnswer(@ForAll @Size(max = 5) List<@IntRange(max = 9) Integer> faults,
			@ForAll @IntRange(min = 1, max = 12) int tokens) {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 1_000_000);
			List<Integer> left = Collections.synchronizedList(new ArrayList<>(faults));
			// One engine death at most: the second one quarantines the content.
			boolean[] died = new boolean[1];
			f.dispatcher.plans = (request) -> plan(request, left, died);
			List<Message> prompt = List.of(new Message("user", "u" + faults));
			List<CompletableFuture<OwnerFixture.Answer>> callers = IntStream.range(0, 3)
				.parallel()
				.mapToObj((i) -> f.turn(PROGRAM, "k", 1, prompt, tokens))
				.toList();
			for (CompletableFuture<OwnerFixture.Answer> caller : callers) {
				assertThat(OwnerFixture.get(caller).delivered()).isEqualTo(FakeDispatcher.answer(prompt, tokens));
				assertThat(OwnerFixture.get(caller).result().text()).isEqualTo(FakeDispatcher.answer(prompt, tokens));
			}
			assertThat(f.ledger.records(TurnCompleted.class)).hasSize(1);
		}
	}

	private static FakeDispatcher.Plan plan(DispatchRequest request, List<Integer> faults, boolean[] died) {
		if (faults.isEmpty()) {
			return FakeDispatcher.Plan.loseEvent((int) request.firstOffset());
		}
		int fault = faults.remove(0);
		if (died[0] || fault == 9) {
			return FakeDispatcher.Plan.refuse(CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, "leaving"));
		}
		died[0] = true;
		return FakeDispatcher.Plan.die(fault);
	}

	// Guards against mixing programs of equal names under two client accounts.
	@Property(seed = "55", tries = 20)
	void equalNamesUnderTwoAccountsNeverMix(@ForAll @IntRange(min = 1, max = 5) int turns) {
		try (OwnerFixture f = new OwnerFixture()) {
			ProgramId other = new ProgramId("b", "p");
			f.open(PROGRAM, 100_000);
			assertThat(OwnerFixture.failure(f.owner.get(other)).code()).isEqualTo(ErrorCode.NOT_FOUND);
			f.open(other, 200_000);
			for (int i = 1; i <= turns; i++) {
				CompletableFuture<?> a = f.append(PROGRAM, "k" + i, i, "secret of a", 2);
				CompletableFuture<?> b = f.append(other, "k" + i, i, "secret of b", 2);
				OwnerFixture.get(a);
				OwnerFixture.get(b);
			}
			OwnerFixture.get(f.order(PROGRAM, "s", 0, false));
			OwnerFixture.get(f.order(other, "s", 0, false));
			assertThat(f.service.executions.keySet()).containsExactly("a/p/s", "b/p/s");
			for (DispatchRequest request : f.dispatcher.requests) {
				String foreign = request.program().account().equals("a") ? "secret of b" : "secret of a";
				assertThat(request.messages().stream().anyMatch((message) -> message.content().equals(foreign)))
					.isFalse();
			}
			OwnerFixture.get(f.owner.end(PROGRAM));
			assertThat(OwnerFixture.get(f.owner.get(other)).turns()).isEqualTo(turns);
			assertThat(f.dispatcher.released).containsExactly("e1 a/p");
		}
	}

}

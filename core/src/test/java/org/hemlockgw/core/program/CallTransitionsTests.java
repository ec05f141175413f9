package org.hemlockgw.core.program;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.platform.ServiceResponse;

import static com.google.common.truth.Truth.assertThat;

class CallTransitionsTests {

	private static final Instant NOW = Instant.ofEpochSecond(1_000_000);

	private static final ProgramId ID = new ProgramId("a", "p");

	private static final Message HELLO = new Message("user", "hello");

	private static final Message MORE = new Message("user", "more");

	private static ProgramSnapshot opened(int maxTurns) {
		return ProgramSnapshot.initial(new OpenProgram(ID, 100_000, maxTurns, Duration.ofHours(1)), NOW);
	}

	private static CallRequest modelTurn(String key, long step, boolean append, Message... messages) {
		return new CallRequest(ID, key, step, CallKind.MODEL, "m", true, append, List.of(messages), 10, "", new byte[0],
				NOW, "");
	}

	private static CallRequest serviceCall(String key, long step) {
		return new CallRequest(ID, key, step, CallKind.SERVICE, "shop", false, false, List.of(), 0, "/", new byte[0],
				NOW, "");
	}

	private static ProgramSnapshot afterCall(ProgramSnapshot state, CallRequest request, String answer) {
		ProgramSnapshot next = CallTransitions.admit(state, request, RequestDigest.of(request), NOW).state();
		RunningCall call = Objects.requireNonNull(next.calls().running());
		if (request.kind() == CallKind.SERVICE) {
			return CallTransitions.finishService(next, call, new ServiceResponse(200, answer.getBytes()), NOW).state();
		}
		CallResult result = new CallResult(answer, new Usage(5, 0, 3), "stop", 200, new byte[0], 1);
		return CallTransitions.finishTurn(next, call, result, "e", NOW).state();
	}

	private static CallFailure rejectionOf(ProgramSnapshot state, CallRequest request) {
		try {
			CallTransitions.replay(state, request.requestId(), RequestDigest.of(request));
			CallTransitions.admit(state, request, RequestDigest.of(request), NOW);
		}
		catch (CallFailure ex) {
			return ex;
		}
		throw new AssertionError("admitted");
	}

	// Guards against a call that runs before the previous step has finished.
	@Property(seed = "42", tries = 200)
	void stepsRunInOrderRegardlessOfArrivalOrder(@ForAll @IntRange(min = 1, max = 12) int count, @ForAll long seed) {
		List<Long> arrival = new ArrayList<>(LongStream.rangeClosed(1, count).boxed().toList());
		Collections.shuffle(arrival, new Random(seed));
		ProgramSnapshot state = opened(65);
		List<CallRequest> waiting = new ArrayList<>();
		List<Long> ran = new ArrayList<>();
		for (long step : arrival) {
			waiting.add(serviceCall("k" + step, step));
			for (int i = CallOrder.nextDue(waiting, state); i >= 0; i = CallOrder.nextDue(waiting, state)) {
				CallRequest due = waiting.remove(i);
				state = afterCall(state, due, "");
				ran.add(due.step());
			}
		}
		assertThat(ran).isEqualTo(LongStream.rangeClosed(1, count).boxed().toList());
	}

	// Guards against accepting a history that differs from the stored one, and against an
	// idempotency key that is accepted for two different requests.
	@Example
	void rejectsDifferentHistoryAndReusedKey() {
		ProgramSnapshot state = afterCall(opened(2), modelTurn("k1", 1, false, HELLO), "hi");
		Message answer = new Message("assistant", "hi");
		assertThat(rejectionOf(state, modelTurn("k2", 2, false, HELLO, new Message("assistant", "ho"), MORE)).code())
			.isEqualTo(ErrorCode.HISTORY_MISMATCH);
		assertThat(rejectionOf(state, modelTurn("k1", 1, false, MORE)).code())
			.isEqualTo(ErrorCode.IDEMPOTENCY_CONFLICT);
		assertThat(rejectionOf(state, modelTurn("k2", 1, true, MORE)).code()).isEqualTo(ErrorCode.BAD_REQUEST);
		ProgramSnapshot second = afterCall(state, modelTurn("k2", 2, false, HELLO, answer, MORE), "ok");
		assertThat(second.history().messages()).containsExactly(HELLO, answer, MORE, new Message("assistant", "ok"))
			.inOrder();
		CallFailure third = rejectionOf(second, modelTurn("k3", 3, true, MORE));
		assertThat(third.code()).isEqualTo(ErrorCode.LIMIT_REACHED);
		assertThat(third.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	// Guards against a truncated history after a takeover that lost a turn.
	@Example
	void lostTurnIsRequestedOrRestoredFromFullHistory() {
		ProgramSnapshot before = afterCall(opened(65), modelTurn("k1", 1, false, HELLO), "hi");
		ProgramSnapshot state = ProgramSnapshot.restore(ID, before.toRecord());
		Message answer = new Message("assistant", "hi");
		Message lost = new Message("assistant", "lost");
		assertThat(rejectionOf(state, modelTurn("k", 0, true, MORE)).code()).isEqualTo(ErrorCode.HISTORY_MISSING);
		CallFailure gap = rejectionOf(state, modelTurn("k", 3, true, MORE));
		assertThat(gap.code()).isEqualTo(ErrorCode.HISTORY_MISSING);
		assertThat(gap).hasMessageThat().contains("from turn 2");
		CallRequest full = modelTurn("k3", 3, false, HELLO, answer, HELLO, lost, MORE);
		assertThat(CallOrder.nextDue(List.of(modelTurn("k3", 3, true, MORE), full), state)).isEqualTo(1);
		ProgramSnapshot after = afterCall(state, full, "ok");
		assertThat(after.history().messages()).containsAtLeast(lost, MORE).inOrder();
		assertThat(after.calls().lastStep()).isEqualTo(3);
		assertThat(afterCall(state, modelTurn("k2", 2, true, MORE), "ok").history().complete()).isTrue();
		CallResult replay = CallTransitions.replay(after, "k1", RequestDigest.of(modelTurn("k1", 1, false, HELLO)));
		assertThat(replay).isNotNull();
	}

	// Guards against running a call again after its owner crashed, and against a repeated
	// call that gets an empty body because the original body was too large to keep.
	@Example
	void openAndLargeServiceCallsDoNotRunAgain() {
		CallRequest request = serviceCall("k1", 1);
		Transition admitted = CallTransitions.admit(opened(65), request, RequestDigest.of(request), NOW);
		assertThat(admitted.records().stream().filter(Intent.class::isInstance).count()).isEqualTo(1);
		CallRequest idempotent = modelTurn("k", 1, true, HELLO);
		ProgramSnapshot unsent = CallTransitions.admit(opened(65), idempotent, "", NOW).state();
		assertThat(unsent.toRecord().outcomes()).isEmpty();
		assertThat(admitted.state().toRecord().outcomes()).hasSize(1);
		ProgramSnapshot large = afterCall(opened(65), request, "x".repeat(ProgramCalls.MAX_KEPT_BODY_BYTES + 1));
		assertThat(rejectionOf(large, request).verdict()).isEqualTo(Verdict.RAN);
		CallFailure lost = CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED, "lost");
		RunningCall call = Objects.requireNonNull(admitted.state().calls().running());
		ProgramSnapshot failed = CallTransitions.fail(admitted.state(), call, lost, false, NOW).state();
		assertThat(rejectionOf(ProgramSnapshot.restore(ID, failed.toRecord()), request).verdict())
			.isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(failed.calls().lastStep()).isEqualTo(1);
	}

}

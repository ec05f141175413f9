package org.hemlockgw.core.program;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.budget.Budget;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.CallEnded;
import org.hemlockgw.core.ledger.LedgerRecord.Charged;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Granted;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.core.platform.ServiceResponse;

/**
 * State transitions of a program that are caused by its calls.
 */
public final class CallTransitions {

	private CallTransitions() {
	}

	/**
	 * Returns the result of a repeated request from the state, which may be ahead of the
	 * log. The caller releases it once the state is durable.
	 * @param state state of the program
	 * @param requestId idempotency key
	 * @param digest digest of the repeated request
	 * @return the result, or {@code null} if the request still has to run
	 * @throws CallFailure if the key was used for a different request, if the call may
	 * have run, or if the call ran and its result is no longer available
	 */
	public static @Nullable CallResult replay(ProgramSnapshot state, String requestId, String digest) {
		Outcome outcome = state.calls().outcomes().get(requestId);
		if (outcome == null) {
			return null;
		}
		requireSameDigest(requestId, outcome.digest(), digest);
		if (outcome.verdict() == null) {
			return null;
		}
		if (outcome.verdict() != Verdict.RAN) {
			String message = outcome.message().isEmpty() ? "the owner was lost while the call was open"
					: outcome.message();
			throw new CallFailure(ErrorCode.BACKEND_FAILED, outcome.verdict(), message);
		}
		return (outcome.turn() > 0) ? turnResult(state, outcome) : serviceResult(outcome);
	}

	/**
	 * Rejects an idempotency key that was used for a different request.
	 * @param requestId idempotency key
	 * @param first digest of the first request; empty if unknown
	 * @param second digest of the second request
	 * @throws CallFailure {@code IDEMPOTENCY_CONFLICT} if the first digest is known and
	 * differs from the second
	 */
	public static void requireSameDigest(String requestId, String first, String second) {
		if (!first.isEmpty() && !first.equals(second)) {
			throw CallFailure.notRun(ErrorCode.IDEMPOTENCY_CONFLICT,
					"idempotency key '" + requestId + "' was used for a different request");
		}
	}

	/**
	 * Admits a call that is due.
	 * @param state state of the program, without a running call
	 * @param request the request, which must not repeat a finished one
	 * @param digest digest of the request
	 * @param now current time
	 * @return the state with the running call; for a non-idempotent call, the records
	 * include the intent, which must be durable before the call is sent
	 * @throws CallFailure with verdict {@code NOT_RUN} if a check fails
	 */
	public static Transition admit(ProgramSnapshot state, CallRequest request, String digest, Instant now) {
		requireRunning(state, now);
		if (state.calls().running() != null) {
			throw CallFailure.notRun(ErrorCode.INTERNAL, "another call of the program is running");
		}
		ProgramCalls calls = state.calls();
		if (request.step() > 0 && request.step() <= calls.lastStep()) {
			throw CallFailure.notRun(ErrorCode.BAD_REQUEST, "step must be " + (calls.lastStep() + 1)
					+ " or higher, the last finished one is " + calls.lastStep() + "; was " + request.step());
		}
		if (request.step() < 0) {
			throw CallFailure.notRun(ErrorCode.BAD_REQUEST, "step must be 0 or higher, was " + request.step());
		}
		if (calls.outcomes().size() >= ProgramCalls.MAX_CALLS) {
			throw CallFailure.notRun(ErrorCode.LIMIT_REACHED,
					"the program has made all of its " + ProgramCalls.MAX_CALLS + " calls");
		}
		List<Message> added = List.of();
		long upperBound = 0;
		if (request.kind() == CallKind.MODEL) {
			added = checkTurn(state, request);
			upperBound = state.history().tokens() + MessageHistory.upperBoundTokens(added) + request.maxTokens();
		}
		Budget budget = state.budget().reserve(upperBound);
		boolean idempotent = request.kind() == CallKind.MODEL || request.idempotent();
		RunningCall call = new RunningCall(request.requestId(), digest, request.step(), request.kind(), idempotent,
				upperBound, added);
		List<LedgerRecord.OfProgram> records = grantRecords(state, budget);
		if (!idempotent) {
			records.add(new Intent(state.id(), request.requestId(), digest, request.step(), request.target(), now));
		}
		ProgramCalls next = (request.step() > 0) ? calls.withStepsSkippedTo(request.step() - 1) : calls;
		return new Transition(state.with(budget).with(next.withStarted(call), now), records);
	}

	/**
	 * Records an attempt on an engine.
	 * @param state state of the program
	 * @param attempt the attempt
	 * @return the state with the attempt and its record
	 */
	public static Transition recordDispatch(ProgramSnapshot state, Dispatched attempt) {
		ProgramSnapshot next = state.with(state.calls().withAttempt(attempt), state.lastActivity());
		return new Transition(next.withServingEngine(attempt.engine()), List.of(attempt));
	}

	/**
	 * Charges an attempt with an unknown outcome in full and reserves tokens for the next
	 * attempt.
	 * @param state state of the program
	 * @param call its running call
	 * @return the state with a new reservation
	 * @throws CallFailure {@code BUDGET_EXHAUSTED} if the budget does not cover another
	 * attempt; the caller must then abandon the running call
	 */
	public static Transition reserveNextAttempt(ProgramSnapshot state, RunningCall call) {
		Budget charged = state.budget().settle(call.reserved(), call.reserved());
		Budget budget = charged.reserve(call.reserved());
		List<LedgerRecord.OfProgram> records = grantRecords(state, budget);
		records.add(new Charged(state.id(), call.requestId(), call.reserved()));
		return new Transition(state.with(budget), records);
	}

	/**
	 * Finishes a model turn.
	 * @param state state of the program
	 * @param call its running call
	 * @param result result of the turn
	 * @param engine engine of the last attempt
	 * @param now current time
	 * @return the state with the turn in the history
	 */
	public static Transition finishTurn(ProgramSnapshot state, RunningCall call, CallResult result, String engine,
			Instant now) {
		Usage usage = result.usage();
		Budget budget = state.budget().settle(call.reserved(), usage.chargedTokens());
		MessageHistory history = state.history().withTurn(call.newMessages(), result.text(), usage.chargedTokens());
		Outcome outcome = new Outcome(call.requestId(), call.digest(), call.step(), Verdict.RAN, List.of(),
				history.turns(), usage, result.finishReason(), result.status(), new byte[0], "");
		ProgramSnapshot next = state.with(budget)
			.with(state.calls().withFinished(outcome), now)
			.with(history, engine)
			.withServingEngine(engine);
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		records.add(new TurnCompleted(state.id(), call.requestId(), call.step(), call.newMessages(),
				new Message(MessageHistory.ASSISTANT, result.text()), usage, result.finishReason(), engine,
				call.digest(), now));
		records.addAll(grantRecords(state, budget));
		return new Transition(next, records);
	}

	/**
	 * Finishes a service call that ran.
	 * @param state state of the program
	 * @param call its running call
	 * @param response response of the service
	 * @param now current time
	 * @return the state with the outcome of the call
	 */
	public static Transition finishService(ProgramSnapshot state, RunningCall call, ServiceResponse response,
			Instant now) {
		boolean keepsBody = response.body().length <= ProgramCalls.MAX_KEPT_BODY_BYTES;
		byte[] body = keepsBody ? response.body() : new byte[0];
		String note = keepsBody ? "" : ProgramCalls.bodyTooLarge(response.body().length);
		return withOutcome(state, new CallEnded(state.id(), call.requestId(), call.digest(), call.step(), Verdict.RAN,
				response.status(), body, note, now));
	}

	/**
	 * Ends a failed call. A call that did not run or is idempotent is removed, so that a
	 * repeat runs it. Tokens that it may have used remain charged.
	 * @param state state of the program
	 * @param call its running call
	 * @param failure cause of the failure
	 * @param charge whether the last attempt may have used tokens
	 * @param now current time
	 * @return the state without the running call
	 */
	public static Transition fail(ProgramSnapshot state, RunningCall call, CallFailure failure, boolean charge,
			Instant now) {
		if (!call.idempotent() && failure.verdict() != Verdict.NOT_RUN) {
			return withOutcome(state, new CallEnded(state.id(), call.requestId(), call.digest(), call.step(),
					failure.verdict(), 0, new byte[0], String.valueOf(failure.getMessage()), now));
		}
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		if (charge && call.reserved() > 0) {
			records.add(new Charged(state.id(), call.requestId(), call.reserved()));
		}
		if (!call.idempotent()) {
			// Step 0, because the step of a call that did not run is not finished.
			records.add(new CallEnded(state.id(), call.requestId(), call.digest(), 0, Verdict.NOT_RUN, 0, new byte[0],
					String.valueOf(failure.getMessage()), now));
		}
		Budget budget = state.budget().settle(call.reserved(), charge ? call.reserved() : 0);
		records.addAll(grantRecords(state, budget));
		return new Transition(state.with(budget).with(state.calls().without(call.requestId()), now), records);
	}

	static List<LedgerRecord.OfProgram> grantRecords(ProgramSnapshot before, Budget after) {
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		if (after.granted() != before.budget().granted()) {
			records.add(new Granted(before.id(), after.granted()));
		}
		return records;
	}

	private static Transition withOutcome(ProgramSnapshot state, CallEnded record) {
		Outcome outcome = new Outcome(record.requestId(), record.digest(), record.step(), record.verdict(), List.of(),
				0, Usage.NONE, "", record.status(), record.body(), record.message());
		return new Transition(state.with(state.calls().withFinished(outcome), record.at()), List.of(record));
	}

	private static void requireRunning(ProgramSnapshot state, Instant now) {
		if (!state.isRunning()) {
			throw CallFailure.notRun(ErrorCode.PROGRAM_ENDED, "the program is " + state.state());
		}
		if (!now.isBefore(state.expiresAt())) {
			throw CallFailure.notRun(ErrorCode.LIMIT_REACHED, "the wall-time limit ended at " + state.expiresAt());
		}
	}

	private static List<Message> checkTurn(ProgramSnapshot state, CallRequest request) {
		if (state.history().turns() >= state.maxTurns()) {
			throw CallFailure.notRun(ErrorCode.LIMIT_REACHED,
					"the program has made all of its " + state.maxTurns() + " turns");
		}
		if (request.maxTokens() <= 0) {
			throw CallFailure.notRun(ErrorCode.BAD_REQUEST,
					"max_tokens must be at least 1, was " + request.maxTokens());
		}
		// If the previous step is the last finished one, no turn in between was lost.
		boolean provenComplete = request.step() > 0 && request.step() == state.calls().lastStep() + 1;
		return state.history().newMessages(request, provenComplete);
	}

	private static CallResult turnResult(ProgramSnapshot state, Outcome outcome) {
		String answer = state.history().answer(outcome.turn());
		if (answer == null) {
			throw new CallFailure(ErrorCode.LIMIT_REACHED, Verdict.RAN,
					"the call ran as turn " + outcome.turn() + "; its answer is part of the history only");
		}
		return new CallResult(answer, outcome.usage(), outcome.finishReason(), 200, new byte[0], outcome.turn());
	}

	private static CallResult serviceResult(Outcome outcome) {
		if (!outcome.message().isEmpty()) {
			throw new CallFailure(ErrorCode.LIMIT_REACHED, Verdict.RAN, outcome.message());
		}
		return new CallResult("", Usage.NONE, "", outcome.status(), outcome.body(), 0);
	}

}

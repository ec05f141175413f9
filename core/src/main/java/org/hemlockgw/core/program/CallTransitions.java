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
 * Transitions of a program by its calls.
 */
public final class CallTransitions {

	private CallTransitions() {
	}

	/**
	 * Answers a repeated request from the record of the first.
	 * @param state the program
	 * @param requestId idempotency key
	 * @param digest digest of the repeated request
	 * @return the recorded answer, or {@code null} when the request is to be run
	 * @throws CallFailure if the key belongs to a different request, or if the call may
	 * have run and its answer is not known
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
		return (outcome.turn() > 0) ? turn(state, outcome) : service(outcome);
	}

	/**
	 * Refuses a key that was used for a different request.
	 * @param requestId idempotency key
	 * @param first digest of the first request; empty when it is not known
	 * @param second digest of the second request
	 */
	public static void requireSameDigest(String requestId, String first, String second) {
		if (!first.isEmpty() && !first.equals(second)) {
			throw CallFailure.notRun(ErrorCode.IDEMPOTENCY_CONFLICT,
					"idempotency key '" + requestId + "' was used for a different request");
		}
	}

	/**
	 * Admits a call that is due.
	 * @param state the program, without a running call
	 * @param request the request, not a repeat of a finished one
	 * @param digest digest of the request
	 * @param now the time
	 * @return the state with the call running; for a non-idempotent call the intent that
	 * must be durable before it is sent
	 * @throws CallFailure with verdict {@code NOT_RUN} if a check fails
	 */
	public static Transition admit(ProgramSnapshot state, CallRequest request, String digest, Instant now) {
		requireAlive(state, now);
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
		ProgramCalls next = (request.step() > 0) ? calls.skippedTo(request.step() - 1) : calls;
		return new Transition(state.with(budget).with(next.started(call), now), records);
	}

	/**
	 * Notes an attempt on an engine.
	 * @param state the program
	 * @param attempt the attempt
	 * @return the state with the attempt, and its record
	 */
	public static Transition recordDispatch(ProgramSnapshot state, Dispatched attempt) {
		ProgramSnapshot next = state.with(state.calls().dispatched(attempt), state.lastActivity());
		return new Transition(next.withServingEngine(attempt.engine()), List.of(attempt));
	}

	/**
	 * Charges an attempt of unknown outcome in full and reserves the next attempt.
	 * @param state the program
	 * @param call its running call
	 * @return the state with a new reservation
	 * @throws CallFailure {@code BUDGET_EXHAUSTED} if the budget does not cover another
	 * attempt; the running call is then to be abandoned
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
	 * @param state the program
	 * @param call its running call
	 * @param result the answer
	 * @param engine engine of the last attempt
	 * @param now the time
	 * @return the state with the turn in the history
	 */
	public static Transition finishTurn(ProgramSnapshot state, RunningCall call, CallResult result, String engine,
			Instant now) {
		Usage usage = result.usage();
		Budget budget = state.budget().settle(call.reserved(), usage.chargedTokens());
		MessageHistory history = state.history().extended(call.newMessages(), result.text(), usage.chargedTokens());
		Outcome outcome = new Outcome(call.requestId(), call.digest(), call.step(), Verdict.RAN, List.of(),
				history.turns(), usage, result.finishReason(), result.status(), new byte[0], "");
		ProgramSnapshot next = state.with(budget)
			.with(state.calls().finished(outcome), now)
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
	 * Ends a service call that ran.
	 * @param state the program
	 * @param call its running call
	 * @param response the service's answer
	 * @param now the time
	 * @return the state with the outcome
	 */
	public static Transition finishService(ProgramSnapshot state, RunningCall call, ServiceResponse response,
			Instant now) {
		boolean kept = response.body().length <= ProgramCalls.MAX_KEPT_BODY_BYTES;
		byte[] body = kept ? response.body() : new byte[0];
		String note = kept ? "" : ProgramCalls.bodyTooLarge(response.body().length);
		return ended(state, new CallEnded(state.id(), call.requestId(), call.digest(), call.step(), Verdict.RAN,
				response.status(), body, note, now));
	}

	/**
	 * Ends a call that failed. A call that did not run, and an idempotent one, is
	 * forgotten, so that its repeat runs; tokens that it may have used stay charged.
	 * @param state the program
	 * @param call its running call
	 * @param failure why it failed
	 * @param charge whether the last attempt may have used tokens
	 * @param now the time
	 * @return the state without the running call
	 */
	public static Transition fail(ProgramSnapshot state, RunningCall call, CallFailure failure, boolean charge,
			Instant now) {
		if (!call.idempotent() && failure.verdict() != Verdict.NOT_RUN) {
			return ended(state, new CallEnded(state.id(), call.requestId(), call.digest(), call.step(),
					failure.verdict(), 0, new byte[0], String.valueOf(failure.getMessage()), now));
		}
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		if (charge && call.reserved() > 0) {
			records.add(new Charged(state.id(), call.requestId(), call.reserved()));
		}
		if (!call.idempotent()) {
			// Step 0, because a step whose call did not run is not finished.
			records.add(new CallEnded(state.id(), call.requestId(), call.digest(), 0, Verdict.NOT_RUN, 0, new byte[0],
					String.valueOf(failure.getMessage()), now));
		}
		Budget budget = state.budget().settle(call.reserved(), charge ? call.reserved() : 0);
		records.addAll(grantRecords(state, budget));
		return new Transition(state.with(budget).with(state.calls().forgotten(call.requestId()), now), records);
	}

	static List<LedgerRecord.OfProgram> grantRecords(ProgramSnapshot before, Budget after) {
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		if (after.granted() != before.budget().granted()) {
			records.add(new Granted(before.id(), after.granted()));
		}
		return records;
	}

	private static Transition ended(ProgramSnapshot state, CallEnded record) {
		Outcome outcome = new Outcome(record.requestId(), record.digest(), record.step(), record.verdict(), List.of(),
				0, Usage.NONE, "", record.status(), record.body(), record.message());
		return new Transition(state.with(state.calls().finished(outcome), record.at()), List.of(record));
	}

	private static void requireAlive(ProgramSnapshot state, Instant now) {
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
		// The predecessor's record shows that no later turn was lost.
		boolean proven = request.step() > 0 && request.step() == state.calls().lastStep() + 1;
		return state.history().newMessages(request, proven);
	}

	private static CallResult turn(ProgramSnapshot state, Outcome outcome) {
		String answer = state.history().answer(outcome.turn());
		if (answer == null) {
			throw new CallFailure(ErrorCode.LIMIT_REACHED, Verdict.RAN,
					"the call ran as turn " + outcome.turn() + "; its answer is part of the history only");
		}
		return new CallResult(answer, outcome.usage(), outcome.finishReason(), 200, new byte[0], outcome.turn());
	}

	private static CallResult service(Outcome outcome) {
		if (!outcome.message().isEmpty()) {
			throw new CallFailure(ErrorCode.LIMIT_REACHED, Verdict.RAN, outcome.message());
		}
		return new CallResult("", Usage.NONE, "", outcome.status(), outcome.body(), 0);
	}

}

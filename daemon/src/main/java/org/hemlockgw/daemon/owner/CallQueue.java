package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallOrder;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.CallTransitions;
import org.hemlockgw.core.program.RunningCall;
import org.hemlockgw.core.program.Transition;

/**
 * Order and life of the calls of a program: waiting, admission, end. Methods whose name
 * ends in {@code Locked} are called under the lock of the shard.
 */
final class CallQueue {

	/**
	 * After a take-over, an append-only call waits this long for its predecessor, which
	 * may only be late, before it is told that turns are missing.
	 */
	private static final Duration MISSING_TURN_GRACE = Duration.ofSeconds(1);

	private final OwnerContext context;

	private final RecordWriter writer;

	private final Starter starter;

	CallQueue(OwnerContext context, RecordWriter writer, Starter starter) {
		this.context = context;
		this.writer = writer;
		this.starter = starter;
	}

	void enqueueLocked(ProgramCell cell, LiveCall call) {
		cell.live().put(call.request().requestId(), call);
		cell.waiting().add(call);
		watchDeadline(cell, call);
		watchMissingTurn(cell, call);
		pumpLocked(cell);
	}

	// Admits the next due call when none runs.
	void pumpLocked(ProgramCell cell) {
		while (cell.running() == null && !cell.waiting().isEmpty()) {
			List<CallRequest> requests = cell.waiting().stream().map(LiveCall::request).toList();
			int next = CallOrder.nextDue(requests, cell.state());
			if (next < 0) {
				return;
			}
			admitLocked(cell, cell.waiting().remove(next));
		}
	}

	private void admitLocked(ProgramCell cell, LiveCall call) {
		CompletableFuture<Void> append;
		try {
			requireTime(call);
			requireLog(call.request());
			Transition admitted = CallTransitions.admit(cell.state(), call.request(), call.digest(),
					this.context.now());
			// The time limit of a call starts after its predecessor's end.
			call.limitDeadline(this.context.now().plus(timeout(call.request())));
			watchDeadline(cell, call);
			call.phase(LiveCall.Phase.ADMITTED);
			cell.running(call);
			append = this.writer.apply(cell, admitted);
		}
		catch (CallFailure ex) {
			closeLocked(cell, call, null, ex);
			return;
		}
		this.context.count("calls.admitted");
		this.context.note(call, "admitted", "step " + call.request().step() + " is due and its reservation is covered");
		this.context.executor().execute(() -> this.starter.start(cell, call, append));
	}

	private void requireTime(LiveCall call) {
		if (!this.context.now().isBefore(call.deadline())) {
			throw CallFailure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the call was due");
		}
	}

	private void requireLog(CallRequest request) {
		if (this.context.ledger().bufferFillRatio() >= 1) {
			throw CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, "the buffer of records that wait for the log is full");
		}
		boolean idempotent = request.kind() == CallKind.MODEL || request.idempotent();
		if (!idempotent && this.context.ledger().isLogUnavailable()) {
			throw CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE,
					"the log is unavailable, so the intent of a non-idempotent call cannot be made durable");
		}
	}

	// Ends a call that failed, and admits the next one. With charge, the last attempt may
	// have used tokens and its reservation stays charged.
	void failLocked(ProgramCell cell, LiveCall call, CallFailure failure, boolean charge) {
		if (call.phase() == LiveCall.Phase.DONE) {
			return;
		}
		CallFailure whole = whole(call, failure);
		RunningCall admitted = cell.state().calls().running();
		if (cell.running() == call && admitted != null) {
			cell.running(null);
			if (!cell.slot().dropped()) {
				this.writer.apply(cell,
						CallTransitions.fail(cell.state(), admitted, whole, charge, this.context.now()));
			}
		}
		cell.waiting().remove(call);
		closeLocked(cell, call, null, whole);
		pumpLocked(cell);
	}

	// Ends a call whose caller or program does not want it any more.
	void cancelLocked(ProgramCell cell, LiveCall call, ErrorCode code, String message) {
		boolean sent = call.phase() == LiveCall.Phase.SENT;
		if (sent) {
			call.cancelAttempt();
		}
		Verdict verdict = (sent || call.mayHaveRun()) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
		failLocked(cell, call, new CallFailure(code, verdict, message), sent);
	}

	// Releases the result of a call to all of its callers.
	void closeLocked(ProgramCell cell, LiveCall call, @Nullable CallResult result, @Nullable CallFailure failure) {
		call.phase(LiveCall.Phase.DONE);
		if (!cell.live().remove(call.request().requestId(), call)) {
			return;
		}
		String verdict = (failure != null) ? failure.code() + " " + failure.verdict() : "RAN";
		this.context.note(call, "ended", (failure != null) ? verdict + ": " + failure.getMessage() : verdict);
		if (failure != null) {
			this.context.count("calls.failed");
		}
		call.span().setAttribute("verdict", verdict);
		call.span().end();
		// Callers' code runs outside of the lock.
		this.context.executor().execute(() -> {
			call.answer().close();
			if (failure != null) {
				call.done().completeExceptionally(failure);
			}
			else if (result != null) {
				call.done().complete(result);
			}
			cell.slot().exit();
		});
	}

	private static CallFailure whole(LiveCall call, CallFailure last) {
		if (!call.mayHaveRun() || last.verdict() != Verdict.NOT_RUN) {
			return last;
		}
		return new CallFailure(last.code(), Verdict.MAY_HAVE_RUN, String.valueOf(last.getMessage()), last.retryAfter());
	}

	private Duration timeout(CallRequest request) {
		return (request.kind() == CallKind.MODEL) ? this.context.configuration().limits().modelTimeout()
				: this.context.configuration().limits().serviceTimeout();
	}

	private void watchDeadline(ProgramCell cell, LiveCall call) {
		Duration left = Duration.between(this.context.now(), call.deadline());
		AtomicReference<@Nullable LiveCall> handle = call.handle();
		this.context.after(left, () -> {
			synchronized (cell.slot()) {
				LiveCall open = handle.get();
				if (open != null) {
					expireLocked(cell, open);
				}
			}
		});
	}

	private void expireLocked(ProgramCell cell, LiveCall call) {
		Instant now = this.context.now();
		if (now.isBefore(call.deadline())) {
			watchDeadline(cell, call);
			return;
		}
		if (call.finished()) {
			this.context.count("results.late");
			closeLocked(cell, call, null, ResultRelease.late());
			return;
		}
		String message = (call.phase() == LiveCall.Phase.WAITING) ? "step " + call.request().step()
				+ " waited for its predecessor until its deadline; finished is step " + cell.state().calls().lastStep()
				: "the deadline passed";
		cancelLocked(cell, call, ErrorCode.DEADLINE_EXCEEDED, message);
	}

	private void watchMissingTurn(ProgramCell cell, LiveCall call) {
		CallRequest request = call.request();
		if (request.kind() != CallKind.MODEL || !request.append() || cell.state().history().complete()) {
			return;
		}
		this.context.after(MISSING_TURN_GRACE, () -> {
			synchronized (cell.slot()) {
				if (call.phase() == LiveCall.Phase.WAITING && !cell.state().history().complete()
						&& request.step() > cell.state().calls().lastStep() + 1) {
					failLocked(cell, call, cell.state().history().missingTurnsFailure(), false);
				}
			}
		});
	}

	/**
	 * Starts an admitted call.
	 */
	@FunctionalInterface
	interface Starter {

		/**
		 * Starts a call.
		 * @param cell the program
		 * @param call the call
		 * @param append completes when the records of the admission are durable
		 */
		void start(ProgramCell cell, LiveCall call, CompletableFuture<Void> append);

	}

}

package org.hemlockgw.core.program;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;

/**
 * Calls of a program: the recorded outcomes of finished calls and the running call.
 *
 * @param outcomes finished and open calls by request identifier, oldest first
 * @param lastStep number of the last finished step
 * @param running the running call, or {@code null}; the calls of a program run one at a
 * time
 */
public record ProgramCalls(Map<String, Outcome> outcomes, long lastStep, @Nullable RunningCall running) {

	/** Calls of a new program: none. */
	public static final ProgramCalls EMPTY = new ProgramCalls(Map.of(), 0, null);

	/**
	 * Maximum size of a service call's response body that is kept to answer a repeated
	 * call, in bytes.
	 */
	public static final int MAX_KEPT_BODY_BYTES = 64 * 1024;

	/**
	 * Maximum number of calls of one program: 63 service calls for each of 65 turns.
	 * Limits the memory of a program that calls a service in an endless loop.
	 */
	public static final int MAX_CALLS = 4096;

	/**
	 * Number of service calls whose response bodies are kept. Limits the bodies of a
	 * program to 1 MiB in total.
	 */
	private static final int MAX_KEPT_BODIES = 16;

	public ProgramCalls {
		outcomes = Collections.unmodifiableMap(outcomes);
	}

	/**
	 * Restores the calls from the ledger. A call that did not run is discarded, so that a
	 * repeat runs it. The step of a call that may have run counts as finished because the
	 * call is never sent again.
	 * @param recorded outcomes from the ledger, oldest first
	 * @param lastStep number of the last finished step
	 * @return the calls
	 */
	public static ProgramCalls restore(List<Outcome> recorded, long lastStep) {
		Map<String, Outcome> outcomes = new LinkedHashMap<>();
		long last = lastStep;
		for (Outcome candidate : recorded) {
			Outcome outcome = closeOpenIntent(candidate);
			if (outcome.verdict() != Verdict.NOT_RUN) {
				outcomes.put(outcome.requestId(), outcome);
			}
			if (outcome.verdict() == Verdict.MAY_HAVE_RUN || outcome.verdict() == Verdict.RAN) {
				last = Math.max(last, outcome.step());
			}
		}
		return new ProgramCalls(outcomes, last, null);
	}

	/**
	 * Returns the outcome of a finished call.
	 * @param requestId idempotency key
	 * @return the outcome, or {@code null} if the call is unknown, open or did not run
	 */
	public @Nullable Outcome finishedOutcome(String requestId) {
		Outcome outcome = this.outcomes.get(requestId);
		return (outcome == null || outcome.verdict() == null) ? null : outcome;
	}

	// A call with an intent but no outcome is never sent again.
	private static Outcome closeOpenIntent(Outcome outcome) {
		if (outcome.verdict() != null || !outcome.open().isEmpty()) {
			return outcome;
		}
		return new Outcome(outcome.requestId(), outcome.digest(), outcome.step(), Verdict.MAY_HAVE_RUN, List.of(), 0,
				Usage.NONE, "", 0, new byte[0], "");
	}

	// Omits an idempotent call that was not sent yet: a successor would treat it as an
	// intent and report that the call may have run.
	List<Outcome> durableOutcomes() {
		RunningCall call = this.running;
		return this.outcomes.values()
			.stream()
			.filter((outcome) -> call == null || !call.idempotent() || !outcome.open().isEmpty()
					|| !outcome.requestId().equals(call.requestId()))
			.toList();
	}

	ProgramCalls withStarted(RunningCall call) {
		Outcome open = new Outcome(call.requestId(), call.digest(), call.step(), null, List.of(), 0, Usage.NONE, "", 0,
				new byte[0], "");
		return new ProgramCalls(outcomesWith(open), this.lastStep, call);
	}

	ProgramCalls withStepsSkippedTo(long step) {
		return new ProgramCalls(this.outcomes, Math.max(this.lastStep, step), this.running);
	}

	ProgramCalls withAttempt(Dispatched attempt) {
		Outcome before = this.outcomes.get(attempt.requestId());
		if (before == null) {
			return this;
		}
		List<Dispatched> attempts = new ArrayList<>(before.open());
		attempts.add(attempt);
		Outcome open = new Outcome(before.requestId(), before.digest(), before.step(), null, attempts, 0, Usage.NONE,
				"", 0, new byte[0], "");
		return new ProgramCalls(outcomesWith(open), this.lastStep, this.running);
	}

	ProgramCalls withFinished(Outcome outcome) {
		return new ProgramCalls(withoutOldBodies(outcomesWith(outcome)), Math.max(this.lastStep, outcome.step()), null);
	}

	ProgramCalls without(String requestId) {
		Map<String, Outcome> remaining = new LinkedHashMap<>(this.outcomes);
		remaining.remove(requestId);
		return new ProgramCalls(remaining, this.lastStep, null);
	}

	private Map<String, Outcome> outcomesWith(Outcome outcome) {
		Map<String, Outcome> all = new LinkedHashMap<>(this.outcomes);
		all.remove(outcome.requestId());
		all.put(outcome.requestId(), outcome);
		return all;
	}

	private static Map<String, Outcome> withoutOldBodies(Map<String, Outcome> outcomes) {
		List<Outcome> withBody = outcomes.values().stream().filter((outcome) -> outcome.body().length > 0).toList();
		for (int i = 0; i < withBody.size() - MAX_KEPT_BODIES; i++) {
			Outcome old = withBody.get(i);
			outcomes.put(old.requestId(), new Outcome(old.requestId(), old.digest(), old.step(), old.verdict(),
					old.open(), old.turn(), old.usage(), old.finishReason(), old.status(), new byte[0], bodyDropped()));
		}
		return outcomes;
	}

	static String bodyTooLarge(int bytes) {
		return "the call ran; its body of " + bytes + " bytes was not kept, the limit is " + MAX_KEPT_BODY_BYTES;
	}

	private static String bodyDropped() {
		return "the call ran; only the bodies of the last " + MAX_KEPT_BODIES + " service calls are kept";
	}

}

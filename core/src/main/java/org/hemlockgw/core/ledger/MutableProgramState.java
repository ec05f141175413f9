package org.hemlockgw.core.ledger;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.ledger.LedgerRecord.CallEnded;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.Usage;

/**
 * Mutable state of one program while ledger records are applied to it. Maintains the
 * invariant {@code 0 <= settled <= granted <= budget}.
 */
final class MutableProgramState {

	private static final byte[] NO_BODY = {};

	private final long budget;

	private final int maxTurns;

	private final Instant openedAt;

	private final Instant expiresAt;

	private final List<Message> messages = new ArrayList<>();

	private final Map<String, Outcome> outcomes = new LinkedHashMap<>();

	private long granted;

	private long settled;

	private Instant lastActivity;

	private ProgramState state = ProgramState.RUNNING;

	private long historyTokens;

	private int turns;

	private long lastStep;

	private @Nullable String engine;

	MutableProgramState(Opened opened, long budget) {
		this.budget = budget;
		this.granted = Math.min(Math.max(opened.granted(), 0), budget);
		this.maxTurns = opened.maxTurns();
		this.openedAt = opened.at();
		this.expiresAt = opened.expiresAt();
		this.lastActivity = opened.at();
	}

	MutableProgramState(ProgramRecord record) {
		this.budget = record.budget();
		this.granted = record.granted();
		this.settled = record.settled();
		this.maxTurns = record.maxTurns();
		this.openedAt = record.openedAt();
		this.expiresAt = record.expiresAt();
		this.lastActivity = record.lastActivity();
		this.state = record.state();
		this.messages.addAll(record.messages());
		this.historyTokens = record.historyTokens();
		this.turns = record.turns();
		this.lastStep = record.lastStep();
		this.engine = record.engine();
		record.outcomes().forEach((outcome) -> this.outcomes.put(outcome.requestId(), outcome));
	}

	boolean isRunning() {
		return this.state == ProgramState.RUNNING;
	}

	long unspent() {
		return this.budget - this.settled;
	}

	Instant lastActivity() {
		return this.lastActivity;
	}

	void grant(long total) {
		this.granted = Math.max(this.granted, Math.min(total, this.budget));
	}

	/**
	 * Settles spending. Spending beyond the budget is ignored because there is nothing
	 * left to charge it to.
	 * @param tokens tokens spent
	 * @return tokens charged
	 */
	long settle(long tokens) {
		long charged = Math.min(tokens, unspent());
		this.settled += charged;
		this.granted = Math.max(this.granted, this.settled);
		return charged;
	}

	void refund(long tokens) {
		this.settled = Math.max(0, this.settled - tokens);
	}

	void settleGrant() {
		this.settled = this.granted;
	}

	void applyIntent(Intent intent) {
		Outcome existing = this.outcomes.get(intent.requestId());
		if (existing != null && existing.verdict() != Verdict.NOT_RUN) {
			return;
		}
		this.lastActivity = intent.at();
		put(openOutcome(intent.requestId(), intent.digest(), intent.step(), List.of()));
	}

	void applyDispatched(Dispatched attempt) {
		Outcome existing = this.outcomes.get(attempt.requestId());
		if (existing == null || existing.verdict() == Verdict.NOT_RUN) {
			put(openOutcome(attempt.requestId(), "", 0, List.of(attempt)));
		}
		else if (existing.verdict() == null) {
			List<Dispatched> attempts = new ArrayList<>(existing.open());
			attempts.add(attempt);
			put(openOutcome(existing.requestId(), existing.digest(), existing.step(), List.copyOf(attempts)));
		}
	}

	/**
	 * Applies a finished turn.
	 * @param turn the turn
	 * @return tokens to settle; 0 if the turn was already applied
	 */
	long applyTurnCompleted(TurnCompleted turn) {
		Outcome existing = this.outcomes.get(turn.requestId());
		if (existing != null && existing.verdict() == Verdict.RAN) {
			return 0;
		}
		this.lastActivity = turn.at();
		this.messages.addAll(turn.newMessages());
		this.messages.add(turn.answer());
		this.historyTokens = turn.usage().chargedTokens();
		this.turns++;
		this.lastStep = Math.max(this.lastStep, turn.step());
		this.engine = turn.engine();
		put(new Outcome(turn.requestId(), turn.digest(), turn.step(), Verdict.RAN, List.of(), this.turns, turn.usage(),
				turn.finishReason(), 200, NO_BODY, ""));
		return turn.usage().chargedTokens();
	}

	void applyCallEnded(CallEnded call) {
		Outcome existing = this.outcomes.get(call.requestId());
		if (existing != null && existing.verdict() == Verdict.RAN) {
			return;
		}
		this.lastActivity = call.at();
		if (call.verdict() != Verdict.NOT_RUN) {
			this.lastStep = Math.max(this.lastStep, call.step());
		}
		put(new Outcome(call.requestId(), call.digest(), call.step(), call.verdict(), List.of(), 0, Usage.NONE, "",
				call.status(), call.body(), call.message()));
	}

	/**
	 * Removes a failed model call and its attempts, so that a successor does not resume
	 * it.
	 * @param requestId request identifier of the call
	 */
	void removeFailedCall(String requestId) {
		Outcome existing = this.outcomes.get(requestId);
		if (existing != null && existing.verdict() == null && !existing.open().isEmpty()) {
			this.outcomes.remove(requestId);
		}
	}

	void end(ProgramState end, Instant at) {
		this.state = end;
		this.lastActivity = at;
	}

	/**
	 * Closes open non-idempotent calls with the verdict {@code MAY_HAVE_RUN}. Their steps
	 * count as finished because they must not run again.
	 */
	void closeOpenIntents() {
		this.outcomes.replaceAll((id, outcome) -> {
			if (outcome.verdict() != null || !outcome.open().isEmpty()) {
				return outcome;
			}
			this.lastStep = Math.max(this.lastStep, outcome.step());
			return new Outcome(id, outcome.digest(), outcome.step(), Verdict.MAY_HAVE_RUN, List.of(), 0, Usage.NONE, "",
					0, NO_BODY, "the owner was lost after the call may have been sent");
		});
	}

	ProgramRecord toRecord() {
		return new ProgramRecord(this.budget, this.granted, this.settled, this.maxTurns, this.openedAt, this.expiresAt,
				this.lastActivity, this.state, List.copyOf(this.messages), this.historyTokens, this.turns,
				this.lastStep, this.engine, List.copyOf(this.outcomes.values()));
	}

	private void put(Outcome outcome) {
		this.outcomes.put(outcome.requestId(), outcome);
	}

	private static Outcome openOutcome(String requestId, String digest, long step, List<Dispatched> attempts) {
		return new Outcome(requestId, digest, step, null, attempts, 0, Usage.NONE, "", 0, NO_BODY, "");
	}

}

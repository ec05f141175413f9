package org.hemlockgw.core.program;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.budget.Budget;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;

/**
 * Immutable state of one program.
 *
 * @param id the program
 * @param state life-cycle state
 * @param budget token budget
 * @param maxTurns maximum number of turns
 * @param openedAt opening time
 * @param expiresAt end of the wall-time limit
 * @param lastActivity time of the last change
 * @param history message history
 * @param calls finished calls and the running call
 * @param engine engine of the last turn, which may still have the program in its cache
 * @param engines all engines that served the program and may still have it in their cache
 */
public record ProgramSnapshot(ProgramId id, ProgramState state, Budget budget, int maxTurns, Instant openedAt,
		Instant expiresAt, Instant lastActivity, MessageHistory history, ProgramCalls calls, @Nullable String engine,
		Set<String> engines) {

	public ProgramSnapshot {
		engines = Set.copyOf(engines);
	}

	public static ProgramSnapshot initial(OpenProgram command, Instant now) {
		return new ProgramSnapshot(command.id(), ProgramState.RUNNING, Budget.open(command.budgetTokens()),
				command.maxTurns(), now, now.plus(command.maxWallTime()), now, MessageHistory.EMPTY, ProgramCalls.EMPTY,
				null, Set.of());
	}

	/**
	 * Restores a program from the ledger after a takeover.
	 * @param id the program
	 * @param record its durable state; unsettled grants count as spent
	 * @return the state
	 */
	public static ProgramSnapshot restore(ProgramId id, ProgramRecord record) {
		Set<String> engines = new HashSet<>();
		if (record.engine() != null) {
			engines.add(record.engine());
		}
		for (Outcome outcome : record.outcomes()) {
			for (Dispatched attempt : outcome.open()) {
				engines.add(attempt.engine());
			}
		}
		Budget budget = new Budget(record.budget(), record.granted(), record.settled(), 0);
		return new ProgramSnapshot(id, record.state(), budget, record.maxTurns(), record.openedAt(), record.expiresAt(),
				record.lastActivity(),
				MessageHistory.restore(record.messages(), record.historyTokens(), record.turns()),
				ProgramCalls.restore(record.outcomes(), record.lastStep()), record.engine(), engines);
	}

	/**
	 * Converts the state to its durable form.
	 * @return the durable state; an open outcome without attempts always belongs to a
	 * non-idempotent call
	 */
	public ProgramRecord toRecord() {
		return new ProgramRecord(this.budget.limit(), this.budget.granted(), this.budget.settled(), this.maxTurns,
				this.openedAt, this.expiresAt, this.lastActivity, this.state, this.history.messages(),
				this.history.tokens(), this.history.turns(), this.calls.lastStep(), this.engine,
				this.calls.durableOutcomes());
	}

	public ProgramView toView() {
		return new ProgramView(this.id, this.state, this.budget.limit(), this.budget.settled(), this.budget.reserved(),
				this.history.turns(), this.calls.lastStep() + 1);
	}

	public boolean isRunning() {
		return this.state == ProgramState.RUNNING;
	}

	/**
	 * Returns whether a repeated open command has the parameters with which this program
	 * was opened.
	 * @param command the command
	 * @return whether the budget and the limits are equal
	 */
	public boolean matches(OpenProgram command) {
		return this.budget.limit() == command.budgetTokens() && this.maxTurns == command.maxTurns()
				&& Duration.between(this.openedAt, this.expiresAt).equals(command.maxWallTime());
	}

	public ProgramSnapshot with(Budget next) {
		return new ProgramSnapshot(this.id, this.state, next, this.maxTurns, this.openedAt, this.expiresAt,
				this.lastActivity, this.history, this.calls, this.engine, this.engines);
	}

	ProgramSnapshot with(ProgramCalls next, Instant now) {
		return new ProgramSnapshot(this.id, this.state, this.budget, this.maxTurns, this.openedAt, this.expiresAt, now,
				this.history, next, this.engine, this.engines);
	}

	ProgramSnapshot with(MessageHistory next, String lastEngine) {
		return new ProgramSnapshot(this.id, this.state, this.budget, this.maxTurns, this.openedAt, this.expiresAt,
				this.lastActivity, next, this.calls, lastEngine, this.engines);
	}

	ProgramSnapshot with(ProgramState next, Instant now) {
		return new ProgramSnapshot(this.id, next, this.budget, this.maxTurns, this.openedAt, this.expiresAt, now,
				this.history, this.calls, this.engine, this.engines);
	}

	ProgramSnapshot withServingEngine(String engineName) {
		Set<String> all = new HashSet<>(this.engines);
		all.add(engineName);
		return new ProgramSnapshot(this.id, this.state, this.budget, this.maxTurns, this.openedAt, this.expiresAt,
				this.lastActivity, this.history, this.calls, this.engine, all);
	}

}

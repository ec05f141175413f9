package org.hemlockgw.core.program;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Charged;
import org.hemlockgw.core.ledger.LedgerRecord.Ended;
import org.hemlockgw.core.ledger.LedgerRecord.Granted;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;

/**
 * Transitions that open and end programs.
 */
public final class ProgramTransitions {

	private ProgramTransitions() {
	}

	/**
	 * Returns the parent of a child program.
	 * @param id the child
	 * @return the part before the last dot, or {@code null} for a root program
	 */
	public static @Nullable ProgramId parent(ProgramId id) {
		int dot = id.name().lastIndexOf('.');
		return (dot < 0) ? null : new ProgramId(id.account(), id.name().substring(0, dot));
	}

	/**
	 * Checks a command against the limits that hold for all programs of an account.
	 * @param command the command
	 * @param account the client account
	 * @param limits limits of all programs
	 */
	public static void checkLimits(OpenProgram command, ClientAccount account, Limits limits) {
		requireBetween("budget_tokens", command.budgetTokens(), account.programBudgetTokens());
		requireBetween("max_turns", command.maxTurns(), limits.maxTurns());
		requireBetween("max_wall_time_s", command.maxWallTime().toSeconds(), limits.maxWallTime().toSeconds());
		if (command.id().depth() > limits.maxDepth()) {
			throw CallFailure.notRun(ErrorCode.LIMIT_REACHED,
					"depth of sub-agents must be at most " + limits.maxDepth() + ", was " + command.id().depth());
		}
	}

	/**
	 * Opens a program.
	 * @param command the checked command
	 * @param parent the parent of a child program, or {@code null}
	 * @param now the time
	 * @return the state of the new program, that of its parent, and the records
	 * @throws CallFailure if the parent has ended or lacks budget
	 */
	public static Opening open(OpenProgram command, @Nullable ProgramSnapshot parent, Instant now) {
		ProgramSnapshot opened = ProgramSnapshot.initial(command, now);
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		ProgramSnapshot carved = null;
		if (parent != null) {
			if (!parent.isRunning()) {
				throw CallFailure.notRun(ErrorCode.PROGRAM_ENDED, "the parent program is " + parent.state());
			}
			carved = parent.with(parent.budget().allocateToChild(command.budgetTokens())).with(parent.calls(), now);
			records.addAll(CallTransitions.grantRecords(parent, carved.budget()));
		}
		records.add(new Opened(command.id(), command.budgetTokens(), opened.budget().granted(), command.maxTurns(),
				opened.expiresAt(), now));
		return new Opening(opened, carved, records);
	}

	/**
	 * Ends a program whose running call, if any, was cancelled.
	 * @param state the program
	 * @param to {@code ENDED} or {@code EXPIRED}
	 * @param now the time
	 * @return the ended program; the reservation of its running call is charged
	 */
	public static Transition end(ProgramSnapshot state, ProgramState to, Instant now) {
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		ProgramSnapshot next = state;
		long reserved = state.budget().reserved();
		if (reserved > 0) {
			RunningCall call = state.calls().running();
			records.add(new Charged(state.id(), (call != null) ? call.requestId() : "", reserved));
			next = next.with(state.budget().settle(reserved, reserved));
		}
		records.add(new Ended(state.id(), to, now));
		return new Transition(next.with(to, now), records);
	}

	/**
	 * Returns the unspent budget of an ended child to its parent.
	 * @param parent the parent
	 * @param child the ended child
	 * @return the parent with the returned budget
	 */
	public static Transition refund(ProgramSnapshot parent, ProgramSnapshot child) {
		ProgramSnapshot next = parent.with(parent.budget().refundFromChild(child.budget().remaining()));
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		if (next.budget().granted() != parent.budget().granted()) {
			records.add(new Granted(parent.id(), next.budget().granted()));
		}
		return new Transition(next, records);
	}

	private static void requireBetween(String field, long value, long max) {
		if (value <= 0) {
			throw CallFailure.notRun(ErrorCode.BAD_REQUEST, field + " must be from 1 to " + max + ", was " + value);
		}
		if (value > max) {
			throw CallFailure.notRun(ErrorCode.LIMIT_REACHED, field + " must be from 1 to " + max + ", was " + value);
		}
	}

	/**
	 * Tells whether a program has been without activity for too long.
	 * @param state the program
	 * @param idleTimeout the limit
	 * @param now the time
	 * @return true when no call runs and the last change is longer ago than the limit
	 */
	public static boolean isIdle(ProgramSnapshot state, Duration idleTimeout, Instant now) {
		return state.calls().running() == null && now.isAfter(state.lastActivity().plus(idleTimeout));
	}

	/**
	 * Result of opening a program.
	 *
	 * @param opened the new program
	 * @param parent its parent after its budget was taken out, or {@code null}
	 * @param records the records to write in one batch
	 */
	public record Opening(ProgramSnapshot opened, @Nullable ProgramSnapshot parent,
			List<LedgerRecord.OfProgram> records) {

		public Opening {
			records = List.copyOf(records);
		}

	}

}

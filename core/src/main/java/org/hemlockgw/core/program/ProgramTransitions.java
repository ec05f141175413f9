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
 * State transitions that open and end programs.
 */
public final class ProgramTransitions {

	private ProgramTransitions() {
	}

	/**
	 * Returns the parent of a child program.
	 * @param id the child
	 * @return the program named by the part before the last dot, or {@code null} for a
	 * root program
	 */
	public static @Nullable ProgramId parent(ProgramId id) {
		int dot = id.name().lastIndexOf('.');
		return (dot < 0) ? null : new ProgramId(id.account(), id.name().substring(0, dot));
	}

	/**
	 * Checks an open command against the limits of its client account and the limits for
	 * all programs.
	 * @param command the command
	 * @param account the client account
	 * @param limits limits for all programs
	 * @throws CallFailure {@code BAD_REQUEST} or {@code LIMIT_REACHED} if a value is out
	 * of range
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
	 * @param now current time
	 * @return the new program, its updated parent and the records to write
	 * @throws CallFailure if the parent has ended or its remaining budget is too small
	 */
	public static Opening open(OpenProgram command, @Nullable ProgramSnapshot parent, Instant now) {
		ProgramSnapshot opened = ProgramSnapshot.initial(command, now);
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		ProgramSnapshot updatedParent = null;
		if (parent != null) {
			if (!parent.isRunning()) {
				throw CallFailure.notRun(ErrorCode.PROGRAM_ENDED, "the parent program is " + parent.state());
			}
			updatedParent = parent.with(parent.budget().allocateToChild(command.budgetTokens()))
				.with(parent.calls(), now);
			records.addAll(CallTransitions.grantRecords(parent, updatedParent.budget()));
		}
		records.add(new Opened(command.id(), command.budgetTokens(), opened.budget().granted(), command.maxTurns(),
				opened.expiresAt(), now));
		return new Opening(opened, updatedParent, records);
	}

	/**
	 * Ends a program. Its running call, if any, must have been cancelled.
	 * @param state state of the program
	 * @param endState {@code ENDED} or {@code EXPIRED}
	 * @param now current time
	 * @return the ended program, with the reservation of its running call charged
	 */
	public static Transition end(ProgramSnapshot state, ProgramState endState, Instant now) {
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		ProgramSnapshot next = state;
		long reserved = state.budget().reserved();
		if (reserved > 0) {
			RunningCall call = state.calls().running();
			records.add(new Charged(state.id(), (call != null) ? call.requestId() : "", reserved));
			next = next.with(state.budget().settle(reserved, reserved));
		}
		records.add(new Ended(state.id(), endState, now));
		return new Transition(next.with(endState, now), records);
	}

	/**
	 * Returns the unspent budget of an ended child to its parent.
	 * @param parent the parent
	 * @param child the ended child
	 * @return the parent with the returned tokens
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
	 * Returns whether a program has exceeded the idle timeout.
	 * @param state state of the program
	 * @param idleTimeout maximum time without activity
	 * @param now current time
	 * @return {@code true} if no call is running and the last change is older than the
	 * timeout
	 */
	public static boolean isIdle(ProgramSnapshot state, Duration idleTimeout, Instant now) {
		return state.calls().running() == null && now.isAfter(state.lastActivity().plus(idleTimeout));
	}

	/**
	 * Result of opening a program.
	 *
	 * @param opened the new program
	 * @param parent its parent with the budget deducted, or {@code null} for a root
	 * program
	 * @param records records to write in one batch
	 */
	public record Opening(ProgramSnapshot opened, @Nullable ProgramSnapshot parent,
			List<LedgerRecord.OfProgram> records) {

		public Opening {
			records = List.copyOf(records);
		}

	}

}

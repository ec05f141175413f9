package org.hemlockgw.core.ledger;

import java.time.Instant;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.Usage;

/**
 * A record of a ledger. All amounts are tokens.
 */
public sealed interface LedgerRecord {

	/**
	 * A record about one program.
	 */
	sealed interface OfProgram extends LedgerRecord {

		ProgramId program();

	}

	/**
	 * A program was opened with a first grant. For a child, the budget is charged to the
	 * parent in the same record.
	 */
	record Opened(ProgramId program, long budget, long granted, int maxTurns, Instant expiresAt,
			Instant at) implements OfProgram {
	}

	/** The owner may spend up to {@code granted} in all. */
	record Granted(ProgramId program, long granted) implements OfProgram {
	}

	/** A non-idempotent call is about to be sent. */
	record Intent(ProgramId program, String requestId, String digest, long step, String target,
			Instant at) implements OfProgram {
	}

	/** An idempotent model call was sent to an engine under an attempt identifier. */
	record Dispatched(ProgramId program, String requestId, String attemptId, String engine,
			long firstOffset) implements OfProgram {
	}

	/** A model turn finished; {@code digest} is that of the request. */
	record TurnCompleted(ProgramId program, String requestId, long step, List<Message> newMessages, Message answer,
			Usage usage, String finishReason, String engine, String digest, Instant at) implements OfProgram {
	}

	/** A service call ended. {@code verdict} tells whether it ran. */
	record CallEnded(ProgramId program, String requestId, String digest, long step, Verdict verdict, int status,
			byte[] body, String message, Instant at) implements OfProgram {
	}

	/** A call failed after it may have used tokens, which stay charged. */
	record Charged(ProgramId program, String requestId, long tokens) implements OfProgram {
	}

	/** A program ended; unspent budget of a child returns to its parent. */
	record Ended(ProgramId program, ProgramState state, Instant at) implements OfProgram {
	}

	/** The whole state of a program, which replaces all earlier records of it. */
	record Checkpoint(ProgramId program, ProgramRecord state) implements OfProgram {
	}

	/**
	 * Written by a successor into the predecessor's ledger: later records of these shards
	 * are void.
	 *
	 * @param shards the shards
	 * @param epoch epoch of the claim
	 * @param by incarnation identifier of the successor
	 */
	record Seal(Set<ShardId> shards, long epoch, String by) implements LedgerRecord {
	}

	/**
	 * Written by a daemon into its own ledger when it takes shards over and in each
	 * checkpoint: only a seal with a higher epoch makes later records of these shards
	 * void. A shard can so return to an incarnation whose ledger was sealed before, and a
	 * seal of an earlier claim that the log applied late has no effect.
	 *
	 * @param shards the shards
	 * @param epoch epoch of the claim
	 * @param stateFollows whether the rest of the batch has a checkpoint of every program
	 * of these shards, so that earlier records of them no longer count
	 */
	record EpochOpened(Set<ShardId> shards, long epoch, boolean stateFollows) implements LedgerRecord {
	}

	/**
	 * Durable state of one program.
	 *
	 * @param budget budget
	 * @param granted cumulative grant
	 * @param settled spending that is settled, children's budgets included
	 * @param maxTurns limit on turns
	 * @param openedAt opening time
	 * @param expiresAt end of the wall-time limit
	 * @param lastActivity last record about it
	 * @param state life-cycle state
	 * @param messages the whole history
	 * @param historyTokens tokens of the history by the last usage
	 * @param turns finished model calls
	 * @param lastStep last finished step
	 * @param engine engine of the last turn, which may hold its cache
	 * @param outcomes finished and open calls by request identifier, oldest first
	 */
	record ProgramRecord(long budget, long granted, long settled, int maxTurns, Instant openedAt, Instant expiresAt,
			Instant lastActivity, ProgramState state, List<Message> messages, long historyTokens, int turns,
			long lastStep, @Nullable String engine, List<Outcome> outcomes) {

		/**
		 * Returns the state without the part of the grant that is not spent.
		 * @return the state of a program without open calls
		 */
		public ProgramRecord withGrantSettled() {
			return new ProgramRecord(this.budget, this.settled, this.settled, this.maxTurns, this.openedAt,
					this.expiresAt, this.lastActivity, this.state, this.messages, this.historyTokens, this.turns,
					this.lastStep, this.engine, this.outcomes);
		}

	}

	/**
	 * What is known of one call.
	 *
	 * @param requestId idempotency key
	 * @param digest digest of the request, to detect a key used twice
	 * @param step step, or 0
	 * @param verdict {@code null} while the call is open
	 * @param open for an open model call, its attempts, the latest last
	 * @param turn for a finished model turn its number, from 1; else 0
	 * @param usage usage of a finished model turn
	 * @param finishReason finish reason of a finished model turn
	 * @param status status of a finished service call
	 * @param body body of a finished service call
	 * @param message explanation of a failed call
	 */
	record Outcome(String requestId, String digest, long step, @Nullable Verdict verdict, List<Dispatched> open,
			int turn, Usage usage, String finishReason, int status, byte[] body, String message) {
	}

}

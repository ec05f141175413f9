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
 * A record of a ledger. All amounts are in tokens.
 */
public sealed interface LedgerRecord {

	/**
	 * A record about one program.
	 */
	sealed interface OfProgram extends LedgerRecord {

		ProgramId program();

	}

	/**
	 * A program was opened with an initial grant. The budget of a child is charged to its
	 * parent by the same record.
	 */
	record Opened(ProgramId program, long budget, long granted, int maxTurns, Instant expiresAt,
			Instant at) implements OfProgram {
	}

	/** The owner may spend up to {@code granted} tokens in total. */
	record Granted(ProgramId program, long granted) implements OfProgram {
	}

	/** A non-idempotent call is about to be sent; written before the call. */
	record Intent(ProgramId program, String requestId, String digest, long step, String target,
			Instant at) implements OfProgram {
	}

	/** An idempotent model call was sent to an engine under an attempt identifier. */
	record Dispatched(ProgramId program, String requestId, String attemptId, String engine,
			long firstOffset) implements OfProgram {
	}

	/** A model turn finished. {@code digest} is the digest of its request. */
	record TurnCompleted(ProgramId program, String requestId, long step, List<Message> newMessages, Message answer,
			Usage usage, String finishReason, String engine, String digest, Instant at) implements OfProgram {
	}

	/** A service call ended. {@code verdict} states whether it ran. */
	record CallEnded(ProgramId program, String requestId, String digest, long step, Verdict verdict, int status,
			byte[] body, String message, Instant at) implements OfProgram {
	}

	/** A call failed but may have used tokens, which remain charged. */
	record Charged(ProgramId program, String requestId, long tokens) implements OfProgram {
	}

	/** A program ended. The unspent budget of a child is returned to its parent. */
	record Ended(ProgramId program, ProgramState state, Instant at) implements OfProgram {
	}

	/** The full state of a program. Replaces all its earlier records. */
	record Checkpoint(ProgramId program, ProgramRecord state) implements OfProgram {
	}

	/**
	 * Written by a successor to its predecessor's ledger. Later records of these shards
	 * are void.
	 *
	 * @param shards the shards
	 * @param epoch epoch of the claim
	 * @param by incarnation identifier of the successor
	 */
	record Seal(Set<ShardId> shards, long epoch, String by) implements LedgerRecord {
	}

	/**
	 * Written by a daemon to its own ledger when it takes over shards and in each
	 * checkpoint. From then on, only a seal with a higher epoch makes later records of
	 * these shards void. This allows a shard to return to an incarnation whose ledger was
	 * sealed before, and a delayed seal of an earlier claim has no effect.
	 *
	 * @param shards the shards
	 * @param epoch epoch of the claim
	 * @param stateFollows whether the rest of the batch contains a checkpoint of every
	 * program of these shards, which replaces all their earlier records
	 */
	record EpochOpened(Set<ShardId> shards, long epoch, boolean stateFollows) implements LedgerRecord {
	}

	/**
	 * Durable state of one program.
	 *
	 * @param budget total budget
	 * @param granted total tokens granted so far
	 * @param settled settled spending, including the budgets of children
	 * @param maxTurns limit on turns
	 * @param openedAt opening time
	 * @param expiresAt end of the wall-time limit
	 * @param lastActivity time of its last record
	 * @param state life-cycle state
	 * @param messages the full message history
	 * @param historyTokens tokens of the history as of the last reported usage
	 * @param turns finished model calls
	 * @param lastStep last finished step
	 * @param engine engine of the last turn, which may still have the program in its
	 * cache
	 * @param outcomes finished and open calls by request identifier, oldest first
	 */
	record ProgramRecord(long budget, long granted, long settled, int maxTurns, Instant openedAt, Instant expiresAt,
			Instant lastActivity, ProgramState state, List<Message> messages, long historyTokens, int turns,
			long lastStep, @Nullable String engine, List<Outcome> outcomes) {

		/**
		 * Returns a copy without the unspent part of the grant.
		 * @return the state of a program without open calls, with its grant reduced to
		 * the settled spending
		 */
		public ProgramRecord withGrantSettled() {
			return new ProgramRecord(this.budget, this.settled, this.settled, this.maxTurns, this.openedAt,
					this.expiresAt, this.lastActivity, this.state, this.messages, this.historyTokens, this.turns,
					this.lastStep, this.engine, this.outcomes);
		}

	}

	/**
	 * Recorded outcome of one call.
	 *
	 * @param requestId idempotency key
	 * @param digest digest of the request, to detect a key that is reused for a different
	 * request
	 * @param step step, or 0 for none
	 * @param verdict {@code null} while the call is open
	 * @param open attempts of an open model call, oldest first
	 * @param turn number of a finished model turn, from 1; 0 otherwise
	 * @param usage token usage of a finished model turn
	 * @param finishReason finish reason of a finished model turn
	 * @param status HTTP status of a finished service call
	 * @param body response body of a finished service call
	 * @param message error message of a failed call
	 */
	record Outcome(String requestId, String digest, long step, @Nullable Verdict verdict, List<Dispatched> open,
			int turn, Usage usage, String finishReason, int status, byte[] body, String message) {
	}

}

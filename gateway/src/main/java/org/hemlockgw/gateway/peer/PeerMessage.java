package org.hemlockgw.gateway.peer;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.SlotDecision;
import org.hemlockgw.core.pool.SlotRequest;
import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.RecordPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.turn.TurnRecord;

/**
 * Message between daemons.
 */
public sealed interface PeerMessage {

	/**
	 * Returns whether a reply is the last one to its request.
	 * @return false if another reply follows
	 */
	default boolean isLastReply() {
		return true;
	}

	/**
	 * Returns the time limit for the next reply. The limit allows for a connection that
	 * stopped transferring data.
	 * @return time limit in milliseconds; 0 for no limit
	 */
	default long nextReplyTimeoutMs() {
		return 0;
	}

	/**
	 * First message on a connection; identifies its sender.
	 *
	 * @param member the daemon's name
	 */
	record Hello(String member) implements PeerMessage {
	}

	/**
	 * Requests the chain of the turn to continue and reserves the tokens of the new turn.
	 * Answered by {@link TurnOpened}, then {@link ReservationStored}.
	 *
	 * @param turn identifier of the turn
	 * @param program its program
	 * @param parent identifier of the turn that it continues; null if it starts a chain
	 * @param budgetTokens token budget of the program
	 * @param maxTokens maximum number of tokens that the turn can generate
	 * @param retentionMs retention time of turns on the route in milliseconds
	 * @param remainingMs time in milliseconds within which the turn ends
	 */
	record OpenTurn(String turn, String program, @Nullable String parent, long budgetTokens, int maxTokens,
			long retentionMs, long remainingMs) implements PeerMessage {
	}

	/**
	 * Answer to {@link OpenTurn}.
	 *
	 * @param status outcome
	 * @param programStarted whether the program has opened a turn before
	 * @param storeAvailable false if the reservation waits for the store to become
	 * available again
	 * @param prompt concatenated inputs and outputs of the chain, oldest first
	 */
	record TurnOpened(TurnStatus status, boolean programStarted, boolean storeAvailable,
			byte[] prompt) implements PeerMessage {

		private static final byte[] NO_PROMPT = {};

		/**
		 * Time limit in milliseconds; the reservation is requested again after that.
		 */
		private static final long RESERVATION_TIMEOUT_MS = 1500;

		/**
		 * Creates the answer for a turn that must not run.
		 * @param status outcome, not {@link TurnStatus#OK}
		 * @return the answer
		 */
		public static TurnOpened refused(TurnStatus status) {
			return new TurnOpened(status, false, true, NO_PROMPT);
		}

		@Override
		public boolean isLastReply() {
			return this.status != TurnStatus.OK;
		}

		@Override
		public long nextReplyTimeoutMs() {
			return RESERVATION_TIMEOUT_MS;
		}

	}

	/**
	 * Second answer to {@link OpenTurn}: whether the reservation is durable.
	 *
	 * @param stored false if the shard was lost before the reservation was stored
	 */
	record ReservationStored(boolean stored) implements PeerMessage {
	}

	/**
	 * Ends a turn. Answered by {@link TurnClosed} once it is durable.
	 *
	 * @param record the turn; its output is ignored unless the answer is complete
	 * @param complete whether the complete answer is known
	 * @param deliveredTokens number of tokens delivered to the caller
	 */
	record CloseTurn(TurnRecord record, boolean complete, int deliveredTokens) implements PeerMessage {
	}

	/**
	 * Answer to {@link CloseTurn}.
	 *
	 * @param status outcome
	 */
	record TurnClosed(TurnStatus status) implements PeerMessage {
	}

	/**
	 * Searches all shards of a daemon for a chain.
	 *
	 * @param turn identifier of its newest turn
	 */
	record FindTurn(String turn) implements PeerMessage {
	}

	/**
	 * Answer to {@link FindTurn}.
	 *
	 * @param generation generation of the assignment that the daemon has received
	 * @param searchedShards shards that it holds and has searched with complete state
	 * @param chain the chain; empty if the daemon does not have it
	 */
	record TurnFound(long generation, List<Integer> searchedShards, List<TurnRecord> chain) implements PeerMessage {
	}

	/**
	 * Requests a slot of a pool. Answered by {@link SlotAnswered}.
	 *
	 * @param pool name of the pool
	 * @param request the request
	 */
	record AcquireSlot(String pool, SlotRequest request) implements PeerMessage {
	}

	/**
	 * Answer to {@link AcquireSlot}.
	 *
	 * @param answer the outcome; null if the daemon does not schedule the pool
	 */
	record SlotAnswered(@Nullable SlotDecision answer) implements PeerMessage {
	}

	/**
	 * Notifies the requester that its request for a slot is queued. {@link SlotAnswered}
	 * follows.
	 */
	record SlotQueued() implements PeerMessage {

		@Override
		public boolean isLastReply() {
			return false;
		}

	}

	/**
	 * Releases a slot or cancels a request for one. Not answered.
	 *
	 * @param pool name of the pool
	 * @param request identifier of the request
	 * @param units size of the answer; 0 to exclude it from the estimate of the server's
	 * speed
	 * @param failed whether the server failed
	 */
	record ReleaseSlot(String pool, String request, int units, boolean failed) implements PeerMessage {
	}

	/**
	 * Reports a slot in use to the new scheduler of its pool. Not answered.
	 *
	 * @param pool name of the pool
	 * @param request the request
	 * @param server the server that runs it
	 */
	record HoldSlot(String pool, SlotRequest request, String server) implements PeerMessage {
	}

	/**
	 * Requests an append on behalf of a daemon whose own calls to the store fail.
	 * Answered by {@link AppendRelayed}.
	 *
	 * @param shard number of the shard
	 * @param epoch epoch of its writer
	 * @param sequence sequence number of the append within the epoch
	 * @param records the records
	 */
	record RelayAppend(int shard, long epoch, long sequence, List<KeyedValue> records) implements StoreCall {
	}

	/**
	 * Answer to {@link RelayAppend}.
	 *
	 * @param outcome answer of the store; null if it is unknown
	 */
	record AppendRelayed(@Nullable AppendOutcome outcome) implements PeerMessage {
	}

	/**
	 * Requests a join on behalf of a daemon whose own calls to the store fail. Answered
	 * by {@link JoinRelayed}.
	 *
	 * @param member name of the daemon
	 * @param generation the last generation that it received
	 */
	record RelayJoin(String member, long generation) implements StoreCall {
	}

	/**
	 * Answer to {@link RelayJoin}.
	 *
	 * @param assignment shards assigned to the member; null if the store does not answer
	 */
	record JoinRelayed(@Nullable ShardAssignment assignment) implements PeerMessage {
	}

	/**
	 * Requests records on behalf of a daemon whose own calls to the store fail. Answered
	 * by {@link ReadRelayed}.
	 *
	 * @param shard number of the shard
	 * @param after key after which the page begins; empty for the first page
	 */
	record RelayRead(int shard, String after) implements StoreCall {
	}

	/**
	 * Answer to {@link RelayRead}.
	 *
	 * @param page records; null if the store does not answer
	 */
	record ReadRelayed(@Nullable RecordPage page) implements PeerMessage {
	}

	/**
	 * Requests the holders of all shards on behalf of a daemon whose own calls to the
	 * store fail. Answered by {@link HoldersRelayed}.
	 */
	record RelayHolders() implements StoreCall {
	}

	/**
	 * Answer to {@link RelayHolders}.
	 *
	 * @param holders answer of the store; null if it does not answer
	 */
	record HoldersRelayed(@Nullable ShardHolders holders) implements PeerMessage {
	}

	/**
	 * Notifies a daemon that shards have changed holders, so that it reads the assignment
	 * from the store at once. Not answered.
	 */
	record AssignmentChanged() implements PeerMessage {
	}

	/**
	 * Notifies a daemon that the sender has fenced all earlier writers of a shard. Not
	 * answered.
	 *
	 * @param shard number of the shard
	 * @param epoch epoch of the new writer
	 */
	record ShardFenced(int shard, long epoch) implements PeerMessage {
	}

	/**
	 * Notifies a daemon that a backend server was lost while it ran a request. Not
	 * answered.
	 *
	 * @param digest digest of the request's content
	 * @param hash hash of the content, by which daemons remember what was processed
	 * @param server the server
	 * @param startedAtMs start of the server's process in milliseconds since the epoch; 0
	 * if unknown
	 * @param timeMs time of the loss by the sender's clock in milliseconds since the
	 * epoch
	 */
	record ServerLost(String digest, long hash, String server, long startedAtMs, long timeMs) implements PeerMessage {
	}

	/**
	 * Notifies a daemon that a backend server has processed content for which losses of
	 * servers were reported. Not answered.
	 *
	 * @param digest digest of the request's content
	 */
	record ContentProcessed(String digest) implements PeerMessage {
	}

	/**
	 * Notifies a daemon that a backend server has stated that it is leaving. Not
	 * answered.
	 *
	 * @param server the server
	 * @param startedAtMs start of the server's process in milliseconds since the epoch; 0
	 * if unknown
	 */
	record ServerLeaving(String server, long startedAtMs) implements PeerMessage {
	}

	/**
	 * Requests a proof that the sender's configuration is the newest one. Answered by
	 * {@link ProofReply}.
	 *
	 * @param version version of the sender's configuration; {@link Long#MIN_VALUE} if it
	 * has none
	 * @param digest first 64 bits of the SHA-256 digest of its document; 0 without one
	 */
	record ProofRequest(long version, long digest) implements PeerMessage {
	}

	/**
	 * Answer to {@link ProofRequest}.
	 *
	 * @param version version of the answering daemon's configuration
	 * @param digest first 64 bits of the SHA-256 digest of its document; 0 without one
	 * @param ageMs age in milliseconds of its proof that this version is the newest one;
	 * negative without a proof
	 * @param document the configuration document; null unless the requester's version is
	 * older
	 */
	record ProofReply(long version, long digest, long ageMs, byte @Nullable [] document) implements PeerMessage {
	}

	/**
	 * Store call on behalf of a daemon whose own calls to the store fail.
	 */
	sealed interface StoreCall extends PeerMessage {

	}

}

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
	 * Tells whether a reply is the last one to its request.
	 * @return false if another reply follows
	 */
	default boolean isLastReply() {
		return true;
	}

	/**
	 * Returns how long the requester waits for the next reply, which may have to pass a
	 * silent connection.
	 * @return time in milliseconds; 0 to wait without a limit
	 */
	default long nextReplyTimeoutMs() {
		return 0;
	}

	/**
	 * Names the sender of a connection.
	 *
	 * @param member the daemon's name
	 */
	record Hello(String member) implements PeerMessage {
	}

	/**
	 * Asks for the chain of a turn and reserves its tokens. Answered by
	 * {@link TurnOpened}, then {@link ReservationStored}.
	 *
	 * @param turn identifier of the turn
	 * @param program its program
	 * @param parent turn that it continues
	 * @param budgetTokens token budget of the program
	 * @param maxTokens largest number of tokens of the turn
	 * @param retentionMs how long the route keeps turns
	 */
	record OpenTurn(String turn, String program, @Nullable String parent, long budgetTokens, int maxTokens,
			long retentionMs) implements PeerMessage {
	}

	/**
	 * Answer to {@link OpenTurn}.
	 *
	 * @param status outcome
	 * @param prompt inputs and outputs of the chain, the oldest first
	 */
	record TurnOpened(TurnStatus status, byte[] prompt) implements PeerMessage {

		/** A store that is away costs a second at most until copies are kept. */
		private static final long RESERVATION_MS = 1500;

		@Override
		public boolean isLastReply() {
			return this.status != TurnStatus.OK;
		}

		@Override
		public long nextReplyTimeoutMs() {
			return RESERVATION_MS;
		}

	}

	/**
	 * Tells whether a reservation is durable.
	 *
	 * @param stored false if the shard was lost before
	 */
	record ReservationStored(boolean stored) implements PeerMessage {
	}

	/**
	 * Ends a turn. Answered by {@link TurnClosed} once it is durable.
	 *
	 * @param record the turn; its output is ignored unless it is whole
	 * @param complete whether the whole answer is known
	 * @param deliveredTokens tokens handed to the caller
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
	 * Asks all shards of a daemon for a chain.
	 *
	 * @param turn identifier of its newest turn
	 */
	record FindTurn(String turn) implements PeerMessage {
	}

	/**
	 * Answer to {@link FindTurn}.
	 *
	 * @param generation assignment that the daemon knows
	 * @param searchedShards shards that it holds and has searched with complete state
	 * @param chain the chain; empty if it is not here
	 */
	record TurnFound(long generation, List<Integer> searchedShards, List<TurnRecord> chain) implements PeerMessage {
	}

	/**
	 * Asks for a slot of a pool. Answered by {@link SlotAnswered}.
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
	 * Tells that a request for a slot waits. {@link SlotAnswered} follows.
	 */
	record SlotQueued() implements PeerMessage {

		@Override
		public boolean isLastReply() {
			return false;
		}

	}

	/**
	 * Returns a slot or withdraws a request for one. Not answered.
	 *
	 * @param pool name of the pool
	 * @param request identifier of the request
	 * @param units size of the answer; 0 if nothing can be learnt from it
	 * @param failed whether the server failed
	 */
	record ReleaseSlot(String pool, String request, int units, boolean failed) implements PeerMessage {
	}

	/**
	 * Tells a pool's new scheduler of a slot in use. Not answered.
	 *
	 * @param pool name of the pool
	 * @param request the request
	 * @param server the server that runs it
	 */
	record HoldSlot(String pool, SlotRequest request, String server) implements PeerMessage {
	}

	/**
	 * Asks a daemon to keep copies while the store is away. Answered by
	 * {@link CopiesKept}.
	 *
	 * @param shard number of the shard
	 * @param epoch epoch of its writer
	 * @param records records that the store may not have
	 */
	record KeepCopies(int shard, long epoch, List<KeyedValue> records) implements PeerMessage {
	}

	/**
	 * Tells a daemon that its answer {@link CopiesFound} has arrived. Not answered.
	 *
	 * @param shard number of the shard
	 * @param recordCount number of records in the answer
	 */
	record CopiesReceived(int shard, int recordCount) implements PeerMessage {
	}

	/**
	 * Hands copies to the holder of their shard. Answered by {@link CopiesKept}.
	 *
	 * @param shard number of the shard
	 * @param records records that the store may not have
	 */
	record OfferCopies(int shard, List<KeyedValue> records) implements PeerMessage {
	}

	/**
	 * Answer to {@link KeepCopies} and {@link OfferCopies}.
	 *
	 * @param kept false if the store answers this daemon, if the shard was taken over, or
	 * if this daemon does not hold the shard that the copies were offered for
	 */
	record CopiesKept(boolean kept) implements PeerMessage {
	}

	/**
	 * Asks for all copies of a shard that was taken over. Answered by
	 * {@link CopiesFound}.
	 *
	 * @param shard number of the shard
	 * @param epoch epoch of its new writer
	 */
	record CollectCopies(int shard, long epoch) implements PeerMessage {
	}

	/**
	 * Answer to {@link CollectCopies}.
	 *
	 * @param records the newest record of each key
	 */
	record CopiesFound(List<KeyedValue> records) implements PeerMessage {
	}

	/**
	 * Asks a daemon to append for one that the store turns away. Answered by
	 * {@link AppendRelayed}.
	 *
	 * @param shard number of the shard
	 * @param epoch epoch of its writer
	 * @param sequence number of the append within the epoch
	 * @param records the records
	 */
	record RelayAppend(int shard, long epoch, long sequence, List<KeyedValue> records) implements StoreCall {
	}

	/**
	 * Answer to {@link RelayAppend}.
	 *
	 * @param outcome what the store answered; null if its answer is not known
	 */
	record AppendRelayed(@Nullable AppendOutcome outcome) implements PeerMessage {
	}

	/**
	 * Asks a daemon to join the group for one that the store turns away. Answered by
	 * {@link JoinRelayed}.
	 *
	 * @param member name of the daemon
	 * @param generation the last generation that it received
	 */
	record RelayJoin(String member, long generation) implements StoreCall {
	}

	/**
	 * Answer to {@link RelayJoin}.
	 *
	 * @param assignment what the member holds; null if the store does not answer
	 */
	record JoinRelayed(@Nullable ShardAssignment assignment) implements PeerMessage {
	}

	/**
	 * Asks a daemon to read records for one that the store turns away. Answered by
	 * {@link ReadRelayed}.
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
	 * Asks a daemon to read the holders of all shards for one that the store turns away.
	 * Answered by {@link HoldersRelayed}.
	 */
	record RelayHolders() implements StoreCall {
	}

	/**
	 * Answer to {@link RelayHolders}.
	 *
	 * @param holders what the store answered; null if it does not answer
	 */
	record HoldersRelayed(@Nullable ShardHolders holders) implements PeerMessage {
	}

	/**
	 * Tells that shards changed hands, so that the receiver asks the store at once. Not
	 * answered.
	 */
	record AssignmentChanged() implements PeerMessage {
	}

	/**
	 * Tells that a server was lost while it ran a request. Not answered.
	 *
	 * @param digest digest of the request's path and body
	 * @param server the server
	 */
	record ServerLost(String digest, String server) implements PeerMessage {
	}

	/**
	 * Call of the store for a daemon that it turns away.
	 */
	sealed interface StoreCall extends PeerMessage {

	}

}

package org.hemlockgw.gateway.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.turn.TurnRecord;
import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * Registers the turn of a request with the owner of its program. The turn is opened
 * before the request is sent, its tokens are reserved before the caller receives any, and
 * it is closed once.
 */
final class TurnSession implements ReplyListener {

	/**
	 * Retry-After in milliseconds while shards change their owner, which takes less than
	 * a second.
	 */
	private static final long HANDOVER_RETRY_AFTER_MS = 200;

	/**
	 * Maximum Retry-After in milliseconds while the store is unavailable, which lasts
	 * seconds.
	 */
	private static final long STORE_RETRY_AFTER_MS = 1000;

	/** Callers wait for a third of their remaining time at most. */
	private static final long RETRY_AFTER_FRACTION = 3;

	/**
	 * Fraction of the remaining time for which a turn waits for the store before it is
	 * refused, so that the caller can try again.
	 */
	private static final long STORE_WAIT_FRACTION = 2;

	private static final byte[] NO_BYTES = {};

	private final Services services;

	private final PeerMessage.OpenTurn openTurn;

	private final Deadline deadline;

	private final Listener listener;

	private boolean opened;

	private boolean started;

	private PeerMessage.@Nullable TurnOpened waitingForStore;

	private boolean reserved;

	private boolean closed;

	/**
	 * Creates a turn that is not yet opened.
	 * @param services used to reach the owner
	 * @param openTurn the turn
	 * @param deadline deadline of the request
	 * @param listener receives the owner's replies until the turn is closed
	 */
	TurnSession(Services services, PeerMessage.OpenTurn openTurn, Deadline deadline, Listener listener) {
		this.services = services;
		this.openTurn = openTurn;
		this.deadline = deadline;
		this.listener = listener;
	}

	void open() {
		if (!this.closed) {
			this.services.ownerClient().openTurn(this.openTurn, this);
		}
	}

	@Override
	public void onReply(PeerMessage message) {
		if (message instanceof PeerMessage.TurnOpened reply) {
			handleOpened(reply);
		}
		else if (message instanceof PeerMessage.ReservationStored reply) {
			handleReservation(reply.stored());
		}
	}

	@Override
	public void onFailure(String cause) {
		if (this.opened) {
			handleReservation(false);
		}
		else {
			retry(cause);
		}
	}

	private void handleOpened(PeerMessage.TurnOpened reply) {
		switch (reply.status()) {
			case OK -> handleReady(reply);
			case NOT_OWNER -> retry("shard changes hands");
			case BUDGET_SPENT -> refuseOrAbort(402, "token budget is spent");
			case NO_SUCH_TURN -> refuseOrAbort(404, "no such turn");
			case UNCERTAIN -> handleUncertain();
		}
	}

	// The turn may be running if it was opened with another owner before.
	private void refuseOrAbort(int status, String reason) {
		if (this.started) {
			this.listener.aborted(reason + " at the new owner");
		}
		else {
			refuse(status, 0, reason);
		}
	}

	private void handleUncertain() {
		String reason = "not every daemon said whether it has the turn";
		if (this.started) {
			retry(reason);
		}
		else {
			refuse(503, HANDOVER_RETRY_AFTER_MS, reason);
		}
	}

	private void handleReady(PeerMessage.TurnOpened reply) {
		boolean first = !this.opened;
		this.opened = true;
		if (this.closed) {
			if (first) {
				// The request has already ended: cancel the reservation of its tokens.
				sendEnd(false, NO_BYTES, NO_BYTES, 0, () -> {
				});
			}
		}
		else if (reply.storeAvailable()) {
			start(reply);
		}
		else if (!this.started && this.waitingForStore == null) {
			this.waitingForStore = reply;
			this.services.loop()
				.schedule(this::refuseWaiting, this.deadline.remainingMs() / STORE_WAIT_FRACTION,
						TimeUnit.MILLISECONDS);
		}
	}

	private void start(PeerMessage.TurnOpened reply) {
		this.waitingForStore = null;
		if (!this.started) {
			this.started = true;
			this.listener.opened(reply.prompt(), reply.programStarted());
		}
	}

	private void refuseWaiting() {
		if (this.waitingForStore != null) {
			refuse(503, storeRetryAfterMs(), "the store is unavailable");
		}
	}

	private long storeRetryAfterMs() {
		return Math.min(STORE_RETRY_AFTER_MS, this.deadline.remainingMs() / RETRY_AFTER_FRACTION);
	}

	private void handleReservation(boolean stored) {
		if (this.closed || this.reserved) {
			return;
		}
		if (!stored) {
			retry("reservation was lost");
			return;
		}
		this.reserved = true;
		if (this.waitingForStore != null) {
			start(this.waitingForStore);
		}
		this.listener.reserved();
	}

	private void retry(String cause) {
		if (this.closed) {
			return;
		}
		this.services.membership().refresh();
		if (!this.opened && this.services.membership().isStoreUnavailable()) {
			refuse(503, storeRetryAfterMs(), cause + ", store is unavailable");
			return;
		}
		if (!this.opened && this.deadline.isHalfElapsed()) {
			refuse(503, HANDOVER_RETRY_AFTER_MS, cause);
			return;
		}
		this.services.loop().schedule(this::open, OwnerClient.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	private void refuse(int status, long retryAfterMs, String reason) {
		if (!this.closed) {
			this.listener.refused(status, retryAfterMs, reason);
		}
	}

	/**
	 * Returns whether tokens may be sent to the caller.
	 * @return whether the reservation is durable
	 */
	boolean isReserved() {
		return this.reserved;
	}

	/**
	 * Records a turn that was answered completely.
	 * @param input input of the turn
	 * @param output data of its events
	 * @param tokens number of tokens sent to the caller
	 * @param onStored called once the record is durable
	 */
	void complete(byte[] input, byte[] output, int tokens, Runnable onStored) {
		if (!this.closed) {
			this.closed = true;
			sendEnd(true, input, output, tokens, onStored);
		}
	}

	/**
	 * Ends the turn without recording its content, unless its end is already being
	 * recorded. Only the tokens sent to the caller are charged to the program.
	 * @param tokens number of tokens sent to the caller
	 */
	void settle(int tokens) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		if (this.opened) {
			sendEnd(false, NO_BYTES, NO_BYTES, tokens, () -> {
			});
		}
	}

	// Retention begins when the response ends, which may wait for the store.
	private Instant latestEnd() {
		return this.services.clock().instant().plusMillis(Math.max(0, this.deadline.remainingMs()));
	}

	private void sendEnd(boolean complete, byte[] input, byte[] output, int tokens, Runnable onStored) {
		TurnRecord record = new TurnRecord(this.openTurn.turn(), this.openTurn.program(), this.openTurn.parent(), input,
				output, latestEnd(), Duration.ofMillis(this.openTurn.retentionMs()));
		Deadline endDeadline = new Deadline(this.services.nanoClock(),
				Math.max(0, this.deadline.remainingMs()) + OwnerClient.STORE_TIMEOUT_MS);
		new TurnEnd(this.services, new PeerMessage.CloseTurn(record, complete, tokens), endDeadline, onStored).send();
	}

	/**
	 * Receives the owner's replies.
	 */
	interface Listener extends RequestFailureListener {

		/**
		 * Called when the turn may begin.
		 * @param prompt inputs and outputs of the preceding turns
		 * @param programStarted whether the program has opened a turn before
		 */
		void opened(byte[] prompt, boolean programStarted);

		/**
		 * Called when tokens may be sent to the caller.
		 */
		void reserved();

	}

}

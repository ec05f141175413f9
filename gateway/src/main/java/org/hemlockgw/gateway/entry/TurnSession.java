package org.hemlockgw.gateway.entry;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.hemlockgw.core.turn.TurnRecord;
import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * Turn of a request at the owner of its program: it is opened before the request is sent,
 * its tokens are reserved before the caller gets any, and it is closed once.
 */
final class TurnSession implements ReplyListener {

	/**
	 * Retry-After in milliseconds while shards change hands; a change takes under a
	 * second.
	 */
	private static final long HANDOVER_RETRY_AFTER_MS = 200;

	/**
	 * Retry-After in milliseconds for shards that nobody can take over before the store
	 * is back, which takes seconds; callers wait for a third of their time at most.
	 */
	private static final long STORE_RETRY_AFTER_MS = 1000;

	private static final byte[] NOTHING = {};

	private final Services services;

	private final PeerMessage.OpenTurn turn;

	private final Deadline time;

	private final Listener listener;

	private boolean opened;

	private boolean reserved;

	private boolean closed;

	/**
	 * Creates a turn.
	 * @param services what is needed to reach the owner
	 * @param turn the turn
	 * @param time time of the request
	 * @param listener learns what the owner says until the turn is closed
	 */
	TurnSession(Services services, PeerMessage.OpenTurn turn, Deadline time, Listener listener) {
		this.services = services;
		this.turn = turn;
		this.time = time;
		this.listener = listener;
	}

	void open() {
		if (!this.closed) {
			this.services.owners().openTurn(this.turn, this);
		}
	}

	@Override
	public void onReply(PeerMessage message) {
		if (message instanceof PeerMessage.TurnOpened answer) {
			opened(answer);
		}
		else if (message instanceof PeerMessage.ReservationStored answer) {
			reservationStored(answer.stored());
		}
	}

	@Override
	public void onFailure(String cause) {
		if (this.opened) {
			reservationStored(false);
		}
		else {
			retry(cause);
		}
	}

	private void opened(PeerMessage.TurnOpened answer) {
		switch (answer.status()) {
			case OK -> begin(answer.prompt());
			case NOT_OWNER -> retry("shard changes hands");
			case BUDGET_SPENT -> {
				if (this.opened) {
					this.listener.aborted("budget was spent while the owner changed");
				}
				else {
					refuse(402, 0, "token budget is spent");
				}
			}
			case NO_SUCH_TURN -> refuse(404, 0, "no such turn");
			case UNCERTAIN -> refuse(503, HANDOVER_RETRY_AFTER_MS, "not every daemon said whether it has the turn");
		}
	}

	private void begin(byte[] chain) {
		if (this.opened) {
			return;
		}
		this.opened = true;
		if (this.closed) {
			// The owner has reserved tokens for a request that is over.
			send(false, NOTHING, NOTHING, 0, () -> {
			});
			return;
		}
		this.listener.opened(chain);
	}

	private void reservationStored(boolean stored) {
		if (this.closed || this.reserved) {
			return;
		}
		if (!stored) {
			retry("reservation was lost");
			return;
		}
		this.reserved = true;
		this.listener.reserved();
	}

	private void retry(String cause) {
		if (this.closed) {
			return;
		}
		this.services.membership().refresh();
		if (!this.opened && this.services.membership().isStoreUnavailable()) {
			refuse(503, STORE_RETRY_AFTER_MS, cause + ", store is away");
			return;
		}
		if (!this.opened && this.time.isHalfElapsed()) {
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
	 * Tells whether tokens may reach the caller.
	 * @return whether the reservation is durable
	 */
	boolean isReserved() {
		return this.reserved;
	}

	/**
	 * Records a turn that was answered whole.
	 * @param input input of the turn
	 * @param output data of its events
	 * @param tokens tokens handed to the caller
	 * @param stored runs once the record is durable
	 */
	void complete(byte[] input, byte[] output, int tokens, Runnable stored) {
		if (!this.closed) {
			this.closed = true;
			send(true, input, output, tokens, stored);
		}
	}

	/**
	 * Gives a turn up, unless it is being recorded.
	 * @param tokens tokens handed to the caller
	 */
	void cancel(int tokens) {
		if (this.closed) {
			return;
		}
		this.closed = true;
		if (this.opened) {
			send(false, NOTHING, NOTHING, tokens, () -> {
			});
		}
	}

	private void send(boolean whole, byte[] input, byte[] output, int tokens, Runnable stored) {
		TurnRecord record = new TurnRecord(this.turn.turn(), this.turn.program(), this.turn.parent(), input, output,
				this.services.clock().instant(), Duration.ofMillis(this.turn.retentionMs()));
		Deadline left = new Deadline(this.services.nanoClock(),
				Math.max(0, this.time.remainingMs()) + OwnerClient.STORE_TIMEOUT_MS);
		new TurnEnd(this.services, new PeerMessage.CloseTurn(record, whole, tokens), left, stored).send();
	}

	/**
	 * Learns what the owner says.
	 */
	interface Listener extends RequestFailureListener {

		/**
		 * The turn may begin.
		 * @param prompt inputs and outputs of the turns before
		 */
		void opened(byte[] prompt);

		/** Tokens may reach the caller. */
		void reserved();

	}

}

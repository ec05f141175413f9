package org.hemlockgw.gateway.entry;

import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.peer.TurnStatus;

/**
 * Records the end of a turn with the owner of its program. It outlives the exchange and
 * follows the shard when it changes hands.
 */
final class TurnEnd implements ReplyListener {

	private static final Logger logger = LoggerFactory.getLogger(TurnEnd.class);

	/**
	 * Time in milliseconds for an owner to store a turn; the store may be slow for
	 * seconds.
	 */
	private static final long STORE_TIMEOUT_MS = 5000;

	/**
	 * Pause in milliseconds before another owner is looked for; a take-over takes some
	 * tens.
	 */
	private static final long RETRY_MS = 40;

	private final Services services;

	private final PeerMessage.CloseTurn close;

	private final long giveUpNanos;

	private final Runnable stored;

	/**
	 * Creates the end of a turn.
	 * @param services what is needed to reach the owner
	 * @param close the turn
	 * @param leftMs time in milliseconds after which it is given up
	 * @param stored runs once the end is durable
	 */
	TurnEnd(Services services, PeerMessage.CloseTurn close, long leftMs, Runnable stored) {
		this.services = services;
		this.close = close;
		this.giveUpNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(leftMs);
		this.stored = stored;
	}

	void send() {
		int shard = this.services.owner().shard(this.close.record().program());
		if (this.services.membership().holds(shard)) {
			this.services.owner().close(this.close, this::reply);
			return;
		}
		String address = this.services.membership().address(shard);
		if (address == null) {
			failed("owner is not known");
			return;
		}
		this.services.peers().request(address, this.close, STORE_TIMEOUT_MS, this);
	}

	@Override
	public void reply(PeerMessage message) {
		if (message instanceof PeerMessage.TurnClosed closed && closed.status() == TurnStatus.OK) {
			this.stored.run();
		}
		else {
			failed("shard changes hands");
		}
	}

	@Override
	public void failed(String cause) {
		if (System.nanoTime() - this.giveUpNanos > 0) {
			logger.warn("request {}: its end is not recorded: {}", this.close.record().id(), cause);
			return;
		}
		this.services.membership().refresh();
		this.services.loop().schedule(this::send, RETRY_MS, TimeUnit.MILLISECONDS);
	}

}

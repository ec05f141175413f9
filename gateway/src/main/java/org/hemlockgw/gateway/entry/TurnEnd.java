package org.hemlockgw.gateway.entry;

import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.gateway.owner.OwnerClient;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.peer.TurnStatus;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Records the end of a turn with the owner of its program. It outlives the exchange and
 * follows the shard when it changes hands.
 */
final class TurnEnd implements ReplyListener {

	private static final Logger logger = LoggerFactory.getLogger(TurnEnd.class);

	private final Services services;

	private final PeerMessage.CloseTurn close;

	private final Deadline time;

	private final Runnable stored;

	/**
	 * Creates the end of a turn.
	 * @param services what is needed to reach the owner
	 * @param close the turn
	 * @param time time after which it is given up
	 * @param stored runs once the end is durable
	 */
	TurnEnd(Services services, PeerMessage.CloseTurn close, Deadline time, Runnable stored) {
		this.services = services;
		this.close = close;
		this.time = time;
		this.stored = stored;
	}

	void send() {
		this.services.owners().closeTurn(this.close, this);
	}

	@Override
	public void onReply(PeerMessage message) {
		if (message instanceof PeerMessage.TurnClosed closed && closed.status() == TurnStatus.OK) {
			this.stored.run();
		}
		else {
			onFailure("shard changes hands");
		}
	}

	@Override
	public void onFailure(String cause) {
		if (this.time.remainingMs() < 0) {
			logger.atWarn()
				.addKeyValue(LogFields.REQUEST, this.close.record().id())
				.addKeyValue(LogFields.REASON, cause)
				.log("end of a turn is not recorded");
			return;
		}
		this.services.membership().refresh();
		this.services.loop().schedule(this::send, OwnerClient.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
	}

}

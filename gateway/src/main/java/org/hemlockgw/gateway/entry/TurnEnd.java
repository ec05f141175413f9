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
 * Records the end of a turn with the owner of the program. It continues after the
 * exchange has ended, and follows the shard to its next owner.
 */
final class TurnEnd implements ReplyListener {

	private static final Logger logger = LoggerFactory.getLogger(TurnEnd.class);

	private final Services services;

	private final PeerMessage.CloseTurn closeTurn;

	private final Deadline deadline;

	private final Runnable onStored;

	/**
	 * Creates the end of a turn.
	 * @param services used to reach the owner
	 * @param closeTurn the turn
	 * @param deadline deadline after which failures are not retried
	 * @param onStored called once the end is durable
	 */
	TurnEnd(Services services, PeerMessage.CloseTurn closeTurn, Deadline deadline, Runnable onStored) {
		this.services = services;
		this.closeTurn = closeTurn;
		this.deadline = deadline;
		this.onStored = onStored;
	}

	void send() {
		this.services.ownerClient().closeTurn(this.closeTurn, this);
	}

	@Override
	public void onReply(PeerMessage message) {
		if (message instanceof PeerMessage.TurnClosed closed && closed.status() == TurnStatus.OK) {
			this.onStored.run();
		}
		else {
			onFailure("shard is changing its owner");
		}
	}

	@Override
	public void onFailure(String cause) {
		if (this.deadline.remainingMs() < 0) {
			logger.atWarn()
				.addKeyValue(LogFields.REQUEST, this.closeTurn.record().id())
				.addKeyValue(LogFields.REASON, cause)
				.log("end of a turn could not be recorded");
			return;
		}
		this.services.membership().refresh();
		this.services.loop().schedule(this::send, OwnerClient.RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
	}

}

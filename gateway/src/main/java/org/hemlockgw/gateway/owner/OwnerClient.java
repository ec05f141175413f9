package org.hemlockgw.gateway.owner;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Sends requests to the owner of a program, which is this daemon or another one.
 */
public final class OwnerClient {

	private static final Logger logger = LoggerFactory.getLogger(OwnerClient.class);

	/**
	 * Delay in milliseconds before the owner is looked up again; a change of owner takes
	 * some tens of milliseconds.
	 */
	public static final long RETRY_DELAY_MS = 40;

	/**
	 * Time limit in milliseconds for an owner's first reply; a round trip takes about 2
	 * ms.
	 */
	private static final long REPLY_TIMEOUT_MS = 300;

	/**
	 * Time limit in milliseconds for an owner to store a turn; the store may be
	 * unavailable for several seconds.
	 */
	public static final long STORE_TIMEOUT_MS = 5000;

	private final Membership membership;

	private final ProgramOwner owner;

	private final PeerLinks peers;

	public OwnerClient(Membership membership, ProgramOwner owner, PeerLinks peers) {
		this.membership = membership;
		this.owner = owner;
		this.peers = peers;
	}

	/**
	 * Opens a turn.
	 * @param request the turn
	 * @param replies receives {@link PeerMessage.TurnOpened} and
	 * {@link PeerMessage.ReservationStored}
	 */
	public void openTurn(PeerMessage.OpenTurn request, ReplyListener replies) {
		int shard = this.membership.shardOf(request.program());
		if (this.membership.holds(shard)) {
			this.owner.openTurn(request, replies::onReply);
			return;
		}
		send(shard, request.turn(), request, REPLY_TIMEOUT_MS, replies);
	}

	/**
	 * Ends a turn.
	 * @param request the turn
	 * @param replies receives {@link PeerMessage.TurnClosed}
	 */
	public void closeTurn(PeerMessage.CloseTurn request, ReplyListener replies) {
		int shard = this.membership.shardOf(request.record().program());
		if (this.membership.holds(shard)) {
			this.owner.closeTurn(request, replies::onReply);
			return;
		}
		send(shard, request.record().id(), request, STORE_TIMEOUT_MS, replies);
	}

	private void send(int shard, String turn, PeerMessage message, long timeoutMs, ReplyListener replies) {
		String address = this.membership.holderAddress(shard);
		if (address == null) {
			replies.onFailure("owner is not known");
			return;
		}
		this.peers.request(address, message, timeoutMs, new ReplyListener() {
			@Override
			public void onReply(PeerMessage answer) {
				replies.onReply(answer);
			}

			@Override
			public void onFailure(String cause) {
				logger.atInfo()
					.addKeyValue(LogFields.REQUEST, turn)
					.addKeyValue(LogFields.SHARD, shard)
					.addKeyValue(LogFields.PEER, address)
					.addKeyValue(LogFields.GENERATION, OwnerClient.this.membership.generation())
					.addKeyValue(LogFields.REASON, cause)
					.log("owner does not answer");
				replies.onFailure("owner does not answer");
			}
		});
	}

}

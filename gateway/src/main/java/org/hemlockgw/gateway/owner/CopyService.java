package org.hemlockgw.gateway.owner;

import java.util.function.Consumer;

import org.hemlockgw.gateway.peer.PeerMessage;

/**
 * What other daemons ask of this one about shards whose store is away: to keep, return
 * and take copies, and to call the store.
 */
public final class CopyService {

	private final Membership membership;

	private final CopyManager copies;

	private final RelayedStore store;

	CopyService(Membership membership, CopyManager copies, RelayedStore store) {
		this.membership = membership;
		this.copies = copies;
		this.store = store;
	}

	public PeerMessage.CopiesKept handle(PeerMessage.KeepCopies keep) {
		return this.copies.handle(keep);
	}

	/**
	 * Gives up a shard that another daemon has taken over and returns what it lacks.
	 * @param collect the request of the new holder
	 * @return records that the store may not have
	 */
	public PeerMessage.CopiesFound handle(PeerMessage.CollectCopies collect) {
		this.membership.relinquishIfOlder(collect.shard(), collect.epoch());
		return this.copies.handle(collect);
	}

	/**
	 * Notes that a daemon has the copies that it asked for.
	 * @param taken the copies
	 * @param sender name of the daemon
	 */
	public void handle(PeerMessage.CopiesReceived taken, String sender) {
		MemberName holder = MemberName.parse(sender);
		if (holder != null) {
			this.copies.handle(taken, holder);
		}
	}

	/**
	 * Adds copies to a shard that this daemon holds.
	 * @param offer the copies
	 * @return whether they were added
	 */
	public PeerMessage.CopiesKept handle(PeerMessage.OfferCopies offer) {
		OwnedShard shard = this.membership.ownedShards().get(offer.shard());
		return new PeerMessage.CopiesKept(shard != null && shard.addCopies(offer.records()));
	}

	/**
	 * Calls the store for a daemon that it turns away.
	 * @param call the call
	 * @param reply takes the answer
	 */
	public void handle(PeerMessage.StoreCall call, Consumer<PeerMessage> reply) {
		this.store.handle(call, reply);
	}

}

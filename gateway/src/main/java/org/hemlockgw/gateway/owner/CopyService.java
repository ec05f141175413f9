package org.hemlockgw.gateway.owner;

import java.util.function.Consumer;

import org.hemlockgw.gateway.peer.PeerMessage;

/**
 * Handles requests of daemons that the store does not answer: keeps, returns and receives
 * copies of records and relays calls to the store.
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

	public PeerMessage.CopiesKept handle(PeerMessage.KeepCopies request) {
		return this.copies.handle(request);
	}

	/**
	 * Relinquishes a shard that another daemon has taken over and returns the copies of
	 * its records.
	 * @param request the request of the new holder
	 * @return records that the store may not contain
	 */
	public PeerMessage.CopiesFound handle(PeerMessage.CollectCopies request) {
		this.membership.relinquishIfOlder(request.shard(), request.epoch());
		return this.copies.handle(request);
	}

	/**
	 * Records that a daemon has received the copies that it requested.
	 * @param received the confirmation
	 * @param sender name of the daemon
	 */
	public void handle(PeerMessage.CopiesReceived received, String sender) {
		MemberName holder = MemberName.parse(sender);
		if (holder != null) {
			this.copies.handle(received, holder);
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
	 * Calls the store on behalf of a daemon whose own calls fail.
	 * @param call the call
	 * @param reply receives the answer
	 */
	public void handle(PeerMessage.StoreCall call, Consumer<PeerMessage> reply) {
		this.store.handle(call, reply);
	}

}

package org.hemlockgw.gateway.owner;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;

/**
 * Copies of records at other daemons while the store is away. A daemon keeps copies only
 * if the store does not answer it either: then nobody can take the shard over, so the
 * writer is still the only one.
 */
final class CopyManager implements CopySender {

	/** Daemons that keep each record; one if no more are reachable. */
	private static final int COPIES = 2;

	private final PeerLinks peers;

	private final KnownMembers members;

	private final StoreHealth health;

	private final MemberName self;

	private final CopyBuffer stash;

	private final Set<Integer> offering = new HashSet<>();

	CopyManager(PeerLinks peers, KnownMembers members, StoreHealth health, MemberName self, LongSupplier nanoClock) {
		this.peers = peers;
		this.members = members;
		this.health = health;
		this.self = self;
		this.stash = new CopyBuffer(nanoClock);
	}

	@Override
	public boolean isCopyRequired() {
		return this.health.isUnavailable() && !this.members.all().isEmpty();
	}

	@Override
	public void send(int shard, long epoch, List<KeyedValue> records, Consumer<Boolean> done) {
		List<MemberName> targets = this.members.choose(COPIES);
		FanOutRequest.send(this.peers, this.members, targets, new PeerMessage.KeepCopies(shard, epoch, records),
				(replies) -> done
					.accept(!targets.isEmpty() && targets.stream().allMatch((target) -> isKept(replies.get(target)))));
	}

	private static boolean isKept(@Nullable PeerMessage reply) {
		return reply instanceof PeerMessage.CopiesKept answer && answer.kept();
	}

	/**
	 * Asks all daemons for copies of a shard.
	 * @param shard number of the shard
	 * @param epoch epoch of its new writer
	 * @param done receives what was found
	 */
	void collect(int shard, long epoch, Consumer<Collected> done) {
		List<KeyedValue> found = new ArrayList<>(this.stash.collect(shard, epoch));
		List<MemberName> targets = this.members.all();
		FanOutRequest.send(this.peers, this.members, targets, new PeerMessage.CollectCopies(shard, epoch),
				(replies) -> {
					replies.forEach((target, reply) -> {
						List<KeyedValue> records = ((PeerMessage.CopiesFound) reply).records();
						found.addAll(records);
						if (!records.isEmpty()) {
							this.peers.sendOneWay(target.peerAddress(),
									new PeerMessage.CopiesReceived(shard, records.size()));
						}
					});
					done.accept(new Collected(found, this.members.isComplete() && replies.size() == targets.size()));
				});
	}

	/**
	 * Hands copies to the holders of their shards, which may not know this daemon.
	 * @param holders the holders
	 */
	void offer(Map<Integer, MemberName> holders) {
		for (int shard : this.stash.shards()) {
			MemberName holder = holders.get(shard);
			if (holder == null || holder.equals(this.self) || this.offering.contains(shard)) {
				continue;
			}
			List<KeyedValue> records = this.stash.undelivered(shard, holder);
			if (!records.isEmpty()) {
				offer(shard, holder, records);
			}
		}
	}

	private void offer(int shard, MemberName holder, List<KeyedValue> records) {
		this.offering.add(shard);
		FanOutRequest.send(this.peers, this.members, List.of(holder), new PeerMessage.OfferCopies(shard, records),
				(replies) -> {
					this.offering.remove(shard);
					if (isKept(replies.get(holder))) {
						this.stash.markDelivered(shard, holder, records.size());
					}
				});
	}

	void handle(PeerMessage.CopiesReceived taken, MemberName holder) {
		this.stash.markDelivered(taken.shard(), holder, taken.recordCount());
	}

	PeerMessage.CopiesFound handle(PeerMessage.CollectCopies collect) {
		return new PeerMessage.CopiesFound(this.stash.collect(collect.shard(), collect.epoch()));
	}

	PeerMessage.CopiesKept handle(PeerMessage.KeepCopies keep) {
		return new PeerMessage.CopiesKept(
				this.health.isUnavailable() && this.stash.put(keep.shard(), keep.epoch(), keep.records()));
	}

	void keepOwnRecords(int shard, long epoch, List<KeyedValue> records) {
		if (!records.isEmpty()) {
			this.stash.put(shard, epoch, records);
		}
	}

	/**
	 * Copies of a shard.
	 *
	 * @param records the records
	 * @param whole false if a daemon that may have copies was not asked or did not answer
	 */
	record Collected(List<KeyedValue> records, boolean whole) {

	}

}

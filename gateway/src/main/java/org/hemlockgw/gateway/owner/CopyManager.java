package org.hemlockgw.gateway.owner;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Manages copies of records on other daemons while the store is unavailable. A daemon
 * accepts copies only if the store does not answer it either: no daemon can acquire the
 * shard then, so the sender is still its only writer.
 */
final class CopyManager implements CopySender {

	private static final Logger logger = LoggerFactory.getLogger(CopyManager.class);

	/**
	 * Number of other daemons that keep a copy of each record; one if no more are
	 * reachable.
	 */
	private static final int COPY_COUNT = 2;

	private final PeerLinks peers;

	private final KnownMembers members;

	private final StoreHealth health;

	private final MemberName self;

	private final CopyBuffer buffer;

	private final Set<Integer> pendingOffers = new HashSet<>();

	CopyManager(PeerLinks peers, KnownMembers members, StoreHealth health, MemberName self, LongSupplier nanoClock) {
		this.peers = peers;
		this.members = members;
		this.health = health;
		this.self = self;
		this.buffer = new CopyBuffer(nanoClock);
	}

	@Override
	public boolean isCopyRequired() {
		return this.health.isUnavailable() && !this.members.all().isEmpty();
	}

	@Override
	public void send(int shard, long epoch, List<KeyedValue> records, Consumer<Boolean> done) {
		List<MemberName> targets = this.members.choose(COPY_COUNT);
		FanOutRequest.send(this.peers, this.members, targets, new PeerMessage.KeepCopies(shard, epoch, records),
				(replies) -> {
					boolean kept = !targets.isEmpty()
							&& targets.stream().allMatch((target) -> isKept(replies.get(target)));
					if (kept) {
						logger.atInfo()
							.addKeyValue(LogFields.SHARD, shard)
							.addKeyValue(LogFields.EPOCH, epoch)
							.addKeyValue(LogFields.KEYS, records.stream().map(KeyedValue::key).toList())
							.addKeyValue(LogFields.COPIES, targets.size())
							.log("records are copied but not acknowledged by the store");
					}
					done.accept(kept);
				});
	}

	private static boolean isKept(@Nullable PeerMessage reply) {
		return reply instanceof PeerMessage.CopiesKept answer && answer.kept();
	}

	/**
	 * Requests the copies of a shard from all known daemons.
	 * @param shard number of the shard
	 * @param epoch epoch of its new writer
	 * @param done called with the copies that were found
	 */
	void collect(int shard, long epoch, Consumer<Collected> done) {
		List<KeyedValue> found = new ArrayList<>(this.buffer.collect(shard, epoch));
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
	 * Sends buffered copies to the holders of their shards. A holder that does not know
	 * this daemon has not requested them.
	 * @param holders holder of each shard
	 */
	void offer(Map<Integer, MemberName> holders) {
		for (int shard : this.buffer.shards()) {
			MemberName holder = holders.get(shard);
			if (holder == null || holder.equals(this.self) || this.pendingOffers.contains(shard)) {
				continue;
			}
			List<KeyedValue> records = this.buffer.undelivered(shard, holder);
			if (!records.isEmpty()) {
				offer(shard, holder, records);
			}
		}
	}

	private void offer(int shard, MemberName holder, List<KeyedValue> records) {
		this.pendingOffers.add(shard);
		FanOutRequest.send(this.peers, this.members, List.of(holder), new PeerMessage.OfferCopies(shard, records),
				(replies) -> {
					this.pendingOffers.remove(shard);
					if (isKept(replies.get(holder))) {
						this.buffer.markDelivered(shard, holder, records.size());
					}
				});
	}

	void handle(PeerMessage.CopiesReceived received, MemberName holder) {
		this.buffer.markDelivered(received.shard(), holder, received.recordCount());
	}

	PeerMessage.CopiesFound handle(PeerMessage.CollectCopies request) {
		return new PeerMessage.CopiesFound(this.buffer.collect(request.shard(), request.epoch()));
	}

	PeerMessage.CopiesKept handle(PeerMessage.KeepCopies request) {
		return new PeerMessage.CopiesKept(
				this.health.isUnavailable() && this.buffer.put(request.shard(), request.epoch(), request.records()));
	}

	void keepOwnRecords(int shard, long epoch, List<KeyedValue> records) {
		if (!records.isEmpty()) {
			this.buffer.put(shard, epoch, records);
		}
	}

	/**
	 * Copies collected for a shard.
	 *
	 * @param records the records
	 * @param complete false if a daemon that may have copies was not queried or did not
	 * answer
	 */
	record Collected(List<KeyedValue> records, boolean complete) {

	}

}

package org.hemlockgw.gateway.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.peer.ReplyListener;

/**
 * Copies of records at other daemons while the store is away. A daemon keeps copies only
 * if the store does not answer it either: then nobody can take the shard over, so the
 * writer is still the only one.
 */
final class Copies implements CopySender {

	/**
	 * Daemons that keep each record, in other data centres as far as there are any; one
	 * if no more are reachable.
	 */
	private static final int COPIES = 2;

	/** Time in milliseconds for a daemon's reply; a round trip takes about two. */
	private static final long REPLY_TIMEOUT_MS = 250;

	/**
	 * Time in milliseconds for which a daemon that did not reply is left out: about a
	 * restart.
	 */
	private static final long AVOID_MS = 2000;

	/** Time in seconds after which a daemon that holds no shard is asked no longer. */
	private static final long FORGET_S = 120;

	/**
	 * Time in milliseconds in which daemons return after the store was away; members that
	 * don't are removed after two seconds.
	 */
	static final long RETURN_MS = 2000;

	private final PeerLinks peers;

	private final StoreHealth health;

	private final MemberName self;

	private final LongSupplier nanoClock;

	private final Stash stash;

	private final Map<MemberName, Long> known = new HashMap<>();

	private final Map<MemberName, Long> failedNanos = new HashMap<>();

	private final Set<Integer> offering = new HashSet<>();

	private @Nullable Long firstSeenNanos;

	private int turn;

	Copies(PeerLinks peers, StoreHealth health, MemberName self, LongSupplier nanoClock) {
		this.peers = peers;
		this.health = health;
		this.self = self;
		this.nanoClock = nanoClock;
		this.stash = new Stash(nanoClock);
	}

	void seen(Collection<MemberName> members) {
		long now = this.nanoClock.getAsLong();
		if (this.firstSeenNanos == null) {
			this.firstSeenNanos = now;
		}
		members.forEach((member) -> this.known.put(member, now));
		this.known.remove(this.self);
		this.known.values().removeIf((since) -> now - since > TimeUnit.SECONDS.toNanos(FORGET_S));
	}

	@Override
	public boolean isWanted() {
		return this.health.isAway() && !this.known.isEmpty();
	}

	@Override
	public void send(int shard, long epoch, List<KeyedValue> records, Consumer<Boolean> done) {
		List<MemberName> targets = targets();
		PeerMessage.KeepCopies keep = new PeerMessage.KeepCopies(shard, epoch, records);
		new Gathering(targets.size(), (answers) -> done.accept(!targets.isEmpty() && answers.size() == targets.size()
				&& answers.values().stream().allMatch((answer) -> answer.equals(new PeerMessage.CopiesKept(true)))))
			.ask(targets, keep);
	}

	// Another order with each call. Daemons that did not reply lately count only if there
	// are no others.
	private List<MemberName> candidates() {
		long now = this.nanoClock.getAsLong();
		this.failedNanos.values().removeIf((since) -> now - since > TimeUnit.MILLISECONDS.toNanos(AVOID_MS));
		List<MemberName> all = new ArrayList<>(this.known.keySet());
		all.removeAll(this.failedNanos.keySet());
		if (all.isEmpty()) {
			all.addAll(this.known.keySet());
		}
		this.turn++;
		Collections.rotate(all, this.turn);
		return all;
	}

	private List<MemberName> targets() {
		Map<String, MemberName> byDataCentre = new LinkedHashMap<>();
		List<MemberName> all = candidates();
		for (MemberName member : all) {
			if (!member.dataCentre().equals(this.self.dataCentre())) {
				byDataCentre.putIfAbsent(member.dataCentre(), member);
			}
		}
		List<MemberName> targets = new ArrayList<>(byDataCentre.values());
		for (MemberName member : all) {
			if (!targets.contains(member)) {
				targets.add(member);
			}
		}
		return targets.subList(0, Math.min(COPIES, targets.size()));
	}

	/**
	 * Returns a daemon that may reach the store, another one with each call.
	 * @return its name, or null if none is known
	 */
	@Nullable MemberName helper() {
		List<MemberName> targets = targets();
		return targets.isEmpty() ? null : targets.get(0);
	}

	/**
	 * Asks all daemons for copies of a shard.
	 * @param shard number of the shard
	 * @param epoch epoch of its new writer
	 * @param done receives what was found
	 */
	void collect(int shard, long epoch, Consumer<Collected> done) {
		List<KeyedValue> found = new ArrayList<>(this.stash.collect(shard, epoch));
		List<MemberName> targets = new ArrayList<>(this.known.keySet());
		new Gathering(targets.size(), (answers) -> {
			answers.forEach((target, answer) -> {
				List<KeyedValue> records = ((PeerMessage.CopiesFound) answer).records();
				found.addAll(records);
				if (!records.isEmpty()) {
					this.peers.tell(target.peerAddress(), new PeerMessage.CopiesTaken(shard, records.size()));
				}
			});
			done.accept(new Collected(found, knowsAll() && answers.size() == targets.size()));
		}).ask(targets, new PeerMessage.CollectCopies(shard, epoch));
	}

	// A daemon that starts while the store is away learns of the others when they return.
	private boolean knowsAll() {
		return this.firstSeenNanos != null
				&& this.nanoClock.getAsLong() - this.firstSeenNanos > TimeUnit.MILLISECONDS.toNanos(RETURN_MS);
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
			if (records.isEmpty()) {
				continue;
			}
			this.offering.add(shard);
			new Gathering(1, (answers) -> {
				this.offering.remove(shard);
				if (answers.containsValue(new PeerMessage.CopiesKept(true))) {
					this.stash.delivered(shard, holder, records.size());
				}
			}).ask(List.of(holder), new PeerMessage.OfferCopies(shard, records));
		}
	}

	void delivered(PeerMessage.CopiesTaken taken, MemberName holder) {
		this.stash.delivered(taken.shard(), holder, taken.count());
	}

	PeerMessage.CopiesFound handle(PeerMessage.CollectCopies collect) {
		return new PeerMessage.CopiesFound(this.stash.collect(collect.shard(), collect.epoch()));
	}

	PeerMessage.CopiesKept handle(PeerMessage.KeepCopies keep) {
		return new PeerMessage.CopiesKept(
				this.health.isAway() && this.stash.put(keep.shard(), keep.epoch(), keep.records()));
	}

	void keepOwn(int shard, long epoch, List<KeyedValue> records) {
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

	/**
	 * Replies of several daemons to one question.
	 */
	private final class Gathering {

		private final Consumer<Map<MemberName, PeerMessage>> done;

		private final Map<MemberName, PeerMessage> answers = new HashMap<>();

		private int waiting;

		Gathering(int waiting, Consumer<Map<MemberName, PeerMessage>> done) {
			this.waiting = waiting;
			this.done = done;
		}

		void ask(List<MemberName> targets, PeerMessage question) {
			if (targets.isEmpty()) {
				this.done.accept(this.answers);
				return;
			}
			for (MemberName target : targets) {
				Copies.this.peers.request(target.peerAddress(), question, REPLY_TIMEOUT_MS, new ReplyListener() {
					@Override
					public void reply(PeerMessage message) {
						Gathering.this.answers.put(target, message);
						answered();
					}

					@Override
					public void failed(String cause) {
						Copies.this.failedNanos.put(target, Copies.this.nanoClock.getAsLong());
						answered();
					}
				});
			}
		}

		private void answered() {
			this.waiting--;
			if (this.waiting == 0) {
				this.done.accept(this.answers);
			}
		}

	}

}

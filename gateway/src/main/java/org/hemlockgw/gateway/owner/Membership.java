package org.hemlockgw.gateway.owner;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;

/**
 * Shards that this daemon holds and, as far as it knows, who holds the others.
 */
public final class Membership {

	private static final Logger logger = LoggerFactory.getLogger(Membership.class);

	/** Fibonacci hashing: spreads names that differ in their last characters only. */
	private static final int HASH_FACTOR = 0x9E3779B9;

	/**
	 * Interval of joins in milliseconds: a third of the shortest lifetime of a member.
	 */
	private static final long JOIN_MS = 350;

	/** Interval of reads of all holders in milliseconds while nothing is missing. */
	private static final long OWNERS_MS = 2000;

	/**
	 * Least time in milliseconds between two early questions to the store; calls are
	 * priced.
	 */
	private static final long REFRESH_MIN_MS = 100;

	/**
	 * Interval in milliseconds at which copies are offered to the holders of shards;
	 * holders that know this daemon have asked by then.
	 */
	private static final long OFFER_MS = 500;

	/** Interval in milliseconds at which expired turns are dropped. */
	private static final long EXPIRY_MS = 5000;

	/** Take-overs within one generation; each uses two epochs. */
	private static final long TAKE_OVERS_PER_GENERATION = 1000;

	private final EventLoop loop;

	private final RelayedStore store;

	private final InstantSource clock;

	private final MemberName self;

	private final Runnable changed;

	private final Map<Integer, OwnedShard> owned = new HashMap<>();

	private final StoreHealth health;

	private final Copies copies;

	private ShardHolders known = new ShardHolders(0, Map.of());

	private Map<Integer, MemberName> holders = Map.of();

	private long generation;

	private long takeOvers;

	private boolean joining;

	private boolean joinAgain;

	private boolean leaving;

	private boolean readingOwners;

	private long refreshedNanos;

	public Membership(EventLoop loop, StateStore store, InstantSource clock, MemberName self, PeerLinks peers,
			Runnable changed) {
		this.loop = loop;
		this.clock = clock;
		this.self = self;
		this.health = new StoreHealth(System::nanoTime);
		this.copies = new Copies(peers, this.health, self, System::nanoTime);
		this.store = new RelayedStore(store, peers, this.copies::helper);
		this.changed = changed;
	}

	public void start() {
		this.loop.scheduleAtFixedRate(this::join, 0, JOIN_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::readOwners, 0, OWNERS_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(() -> this.copies.offer(this.holders), OFFER_MS, OFFER_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(() -> this.owned.values().forEach(OwnedShard::expire), EXPIRY_MS, EXPIRY_MS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Asks the store for the assignment now.
	 */
	public void refresh() {
		long now = System.nanoTime();
		if (now - this.refreshedNanos < TimeUnit.MILLISECONDS.toNanos(REFRESH_MIN_MS)) {
			return;
		}
		this.refreshedNanos = now;
		join();
		readOwners();
	}

	private void join() {
		if (this.leaving) {
			return;
		}
		if (this.joining) {
			this.joinAgain = true;
			return;
		}
		this.joining = true;
		this.joinAgain = false;
		this.store.join(this.self.text(), this.generation).whenComplete((assignment, error) -> {
			this.joining = false;
			if (error != null) {
				logger.warn("joining failed: {}", error.getMessage());
			}
			else {
				this.health.answered();
				apply(assignment);
			}
			if (this.joinAgain) {
				join();
			}
		});
	}

	private void apply(ShardAssignment assignment) {
		if (this.leaving || assignment.generation() < this.generation) {
			return;
		}
		boolean news = assignment.generation() != this.generation;
		boolean missedOne = assignment.generation() > this.generation + 1;
		this.generation = assignment.generation();
		Set<Integer> lost = new TreeSet<>(this.owned.keySet());
		lost.removeAll(assignment.shards());
		lost.forEach(this::drop);
		if (missedOne) {
			// A shard may have been given to another daemon and back.
			this.owned.values().forEach(OwnedShard::confirm);
		}
		Set<Integer> gained = new TreeSet<>(assignment.shards());
		gained.removeAll(this.owned.keySet());
		gained.forEach(this::take);
		if (news) {
			logger.info("generation {}: shards {}, lost {}", this.generation, assignment.shards(), lost);
			readOwners();
		}
		if (!lost.isEmpty()) {
			// The new holder learns of its shards only from its own next join.
			this.changed.run();
		}
	}

	private void take(int number) {
		long epoch = 2 * (this.generation * TAKE_OVERS_PER_GENERATION + this.takeOvers++ % TAKE_OVERS_PER_GENERATION);
		ShardWriter writer = new ShardWriter(this.loop, this.store, this.health, this.copies, number, epoch,
				() -> fenced(number));
		OwnedShard shard = new OwnedShard(this.loop, this.store, this.clock, number, writer);
		this.owned.put(number, shard);
		shard.take((done) -> this.copies.collect(number, epoch, done));
	}

	private void fenced(int number) {
		drop(number);
		refresh();
	}

	private void drop(int number) {
		OwnedShard shard = this.owned.remove(number);
		if (shard != null) {
			this.copies.keepOwn(number, shard.epoch(), shard.end());
		}
	}

	/**
	 * Gives up a shard that another daemon has taken over and returns what it lacks.
	 * @param collect the request of the new holder
	 * @return records that the store may not have
	 */
	public PeerMessage.CopiesFound handle(PeerMessage.CollectCopies collect) {
		OwnedShard shard = this.owned.get(collect.shard());
		if (shard != null && shard.epoch() < collect.epoch()) {
			drop(collect.shard());
			join();
		}
		return this.copies.handle(collect);
	}

	/**
	 * Notes that a daemon has the copies that it asked for.
	 * @param taken the copies
	 * @param sender name of the daemon
	 */
	public void handle(PeerMessage.CopiesTaken taken, String sender) {
		MemberName holder = MemberName.parse(sender);
		if (holder != null) {
			this.copies.delivered(taken, holder);
		}
	}

	/**
	 * Calls the store for a daemon that it turns away.
	 * @param request the call
	 * @param reply takes the answer
	 */
	public void relay(PeerMessage request, Consumer<PeerMessage> reply) {
		this.store.handle(request, reply);
	}

	public PeerMessage.CopiesKept handle(PeerMessage.KeepCopies keep) {
		return this.copies.handle(keep);
	}

	/**
	 * Adds copies to a shard that this daemon holds.
	 * @param offer the copies
	 * @return whether they were added
	 */
	public PeerMessage.CopiesKept handle(PeerMessage.OfferCopies offer) {
		OwnedShard shard = this.owned.get(offer.shard());
		return new PeerMessage.CopiesKept(shard != null && shard.accept(offer.records()));
	}

	private void readOwners() {
		if (this.readingOwners) {
			return;
		}
		this.readingOwners = true;
		this.store.owners().whenComplete((found, error) -> {
			this.readingOwners = false;
			if (error == null) {
				learn(found);
				return;
			}
			logger.warn("reading the holders of shards failed: {}", error.getMessage());
		});
	}

	/**
	 * Takes over what the store or another daemon says of the holders, unless it is older
	 * than what is known. Shards that others hold are given up.
	 * @param found the holders
	 */
	void learn(ShardHolders found) {
		if (found.generation() < this.known.generation()) {
			return;
		}
		Map<Integer, MemberName> names = new HashMap<>();
		found.members().forEach((shard, member) -> {
			MemberName name = MemberName.parse(member);
			if (name == null) {
				logger.warn("shard {} is held by '{}', which is no name of a daemon", shard, member);
			}
			else {
				names.put(shard, name);
			}
		});
		this.known = found;
		this.copies.seen(names.values());
		this.holders = names;
		if (found.generation() > this.generation) {
			Set<Integer> lost = new TreeSet<>(this.owned.keySet());
			lost.removeIf((shard) -> this.self.equals(names.get(shard)));
			lost.forEach(this::drop);
			if (!lost.isEmpty()) {
				logger.info("generation {}: shards {} were given to others", found.generation(), lost);
			}
			join();
		}
	}

	/**
	 * Reads the holders from the store now.
	 * @param done receives the holders, or null if the store does not answer
	 */
	void confirm(Consumer<@Nullable ShardHolders> done) {
		this.store.owners().whenComplete((found, error) -> {
			if (error == null) {
				learn(found);
			}
			done.accept((error != null) ? null : found);
		});
	}

	/**
	 * Returns the generation of the shards that this daemon holds.
	 * @return generation of its last join
	 */
	long generation() {
		return this.generation;
	}

	/**
	 * Leaves the group, once all appends are done.
	 * @param done runs after the store has answered, or has failed to
	 */
	public void leave(Runnable done) {
		this.leaving = true;
		for (OwnedShard shard : List.copyOf(this.owned.values())) {
			if (!shard.isIdle()) {
				this.loop.schedule(() -> leave(done), 2, TimeUnit.MILLISECONDS);
				return;
			}
		}
		Set.copyOf(this.owned.keySet()).forEach(this::drop);
		this.store.leave(this.self.text()).whenComplete((ok, error) -> {
			if (error != null) {
				logger.warn("leaving failed: {}", error.getMessage());
			}
			this.changed.run();
			readOwners();
			done.run();
		});
	}

	@Nullable OwnedShard owned(int shard) {
		OwnedShard found = this.owned.get(shard);
		return (found != null && found.isReady()) ? found : null;
	}

	Map<Integer, OwnedShard> owned() {
		return this.owned;
	}

	/**
	 * Tells whether this daemon holds a shard and answers for it.
	 * @param shard number of the shard
	 * @return whether it does
	 */
	public boolean holds(int shard) {
		return owned(shard) != null;
	}

	/**
	 * Returns the address of the holder of a shard.
	 * @param shard number of the shard
	 * @return peer address, or null if unknown or this daemon
	 */
	public @Nullable String address(int shard) {
		MemberName holder = this.holders.get(shard);
		return (holder == null || holder.equals(this.self)) ? null : holder.peerAddress();
	}

	/**
	 * Returns the addresses of all other daemons that hold shards.
	 * @return peer addresses
	 */
	public Set<String> peers() {
		Set<String> found = new HashSet<>();
		this.holders.values().forEach((holder) -> {
			if (!holder.equals(this.self)) {
				found.add(holder.peerAddress());
			}
		});
		return found;
	}

	/**
	 * Tells whether this daemon can serve turns: all its shards are read and the holders
	 * of the others are known.
	 * @return whether it can
	 */
	public boolean isSettled() {
		return !this.holders.isEmpty() && this.owned.values().stream().allMatch(OwnedShard::isReady);
	}

	/**
	 * Tells whether the store answers this daemon neither directly nor through another
	 * one. Shards can't change hands meanwhile.
	 * @return whether it is away
	 */
	public boolean isStoreAway() {
		return this.health.isAway();
	}

	/**
	 * Returns the shard of a program or pool.
	 * @param name its name
	 * @return number of the shard
	 */
	public int shardOf(String name) {
		return Math.floorMod(name.hashCode() * HASH_FACTOR, this.store.shardCount());
	}

	public int shardCount() {
		return this.store.shardCount();
	}

	public MemberName self() {
		return this.self;
	}

	public int turnCount() {
		return this.owned.values().stream().mapToInt(OwnedShard::turnCount).sum();
	}

}

package org.hemlockgw.gateway.owner;

import java.time.InstantSource;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.telemetry.LogFields;

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

	/** Interval in milliseconds at which a leaving daemon looks for open appends. */
	private static final long LEAVE_CHECK_MS = 2;

	/** Interval in milliseconds at which expired turns are dropped. */
	private static final long EXPIRY_MS = 5000;

	private final EventLoop loop;

	private final RelayedStore store;

	private final MemberName self;

	private final Runnable changed;

	private final OwnedShards owned;

	private final StoreHealth health;

	private final CopyManager copies;

	private final KnownMembers members;

	private final ShardHolderTable holders;

	private final LongSupplier nanoClock;

	private long generation;

	private boolean joining;

	private boolean joinAgain;

	private boolean leaving;

	private boolean readingOwners;

	private long refreshedNanos;

	/**
	 * Creates a member that has not joined yet.
	 * @param loop event loop
	 * @param store the store
	 * @param clock time of day
	 * @param nanoClock time in nanoseconds since some beginning
	 * @param self name of this daemon
	 * @param peers links to other daemons
	 * @param changed runs when this daemon has lost shards
	 */
	public Membership(EventLoop loop, StateStore store, InstantSource clock, LongSupplier nanoClock, MemberName self,
			PeerLinks peers, Runnable changed) {
		this.loop = loop;
		this.nanoClock = nanoClock;
		this.self = self;
		this.changed = changed;
		this.members = new KnownMembers(self, nanoClock);
		this.holders = new ShardHolderTable(self);
		this.health = new StoreHealth(nanoClock);
		this.copies = new CopyManager(peers, this.members, this.health, self, nanoClock);
		this.store = new RelayedStore(store, peers, this.members);
		this.owned = new OwnedShards(loop, this.store, clock, this.health, this.copies, this::refresh);
	}

	public void start() {
		this.loop.scheduleAtFixedRate(this::join, 0, JOIN_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::readOwners, 0, OWNERS_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(() -> this.copies.offer(this.holders.byShard()), OFFER_MS, OFFER_MS,
				TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this.owned::removeExpired, EXPIRY_MS, EXPIRY_MS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Asks the store for the assignment now.
	 */
	public void refresh() {
		long now = this.nanoClock.getAsLong();
		if (now - this.refreshedNanos < TimeUnit.MILLISECONDS.toNanos(REFRESH_MIN_MS)) {
			return;
		}
		this.refreshedNanos = now;
		join();
		readOwners();
	}

	private void join() {
		this.health.logIfUnavailable();
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
				logger.atWarn().addKeyValue(LogFields.REASON, error.getMessage()).log("joining failed");
			}
			else {
				this.health.recordAnswer();
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
		Set<Integer> lost = this.owned.retainOnly(assignment.shards()::contains);
		if (missedOne) {
			// A shard may have been given to another daemon and back.
			this.owned.confirmOwnership();
		}
		this.owned.acquireAll(assignment.shards(), this.generation);
		if (news) {
			logger.atInfo()
				.addKeyValue(LogFields.GENERATION, this.generation)
				.addKeyValue(LogFields.SHARDS, assignment.shards())
				.addKeyValue(LogFields.LOST, lost)
				.log("shards are assigned");
			readOwners();
		}
		if (!lost.isEmpty()) {
			// The new holder learns of its shards only from its own next join.
			this.changed.run();
		}
	}

	/**
	 * Gives a shard up if another daemon has taken it over.
	 * @param number number of the shard
	 * @param epoch epoch of its writer
	 */
	void relinquishIfOlder(int number, long epoch) {
		if (this.owned.relinquishIfOlder(number, epoch)) {
			join();
		}
	}

	/**
	 * Returns what this daemon does for others whose store is away.
	 * @return the service
	 */
	public CopyService copyService() {
		return new CopyService(this, this.copies, this.store);
	}

	private void readOwners() {
		if (this.readingOwners) {
			return;
		}
		this.readingOwners = true;
		this.store.shardHolders().whenComplete((found, error) -> {
			this.readingOwners = false;
			if (error == null) {
				updateHolders(found);
				return;
			}
			logger.atWarn()
				.addKeyValue(LogFields.REASON, error.getMessage())
				.log("reading the holders of shards failed");
		});
	}

	/**
	 * Takes over what the store says of the holders, unless it is older than what is
	 * known. Shards that others hold are given up.
	 * @param found the holders
	 */
	void updateHolders(ShardHolders found) {
		if (!this.holders.update(found)) {
			return;
		}
		this.members.recordSeen(this.holders.members());
		if (found.generation() > this.generation) {
			Set<Integer> lost = this.owned.retainOnly(this.holders::isHeldBySelf);
			if (!lost.isEmpty()) {
				logger.atInfo()
					.addKeyValue(LogFields.GENERATION, found.generation())
					.addKeyValue(LogFields.LOST, lost)
					.log("shards were given to other daemons");
			}
			join();
		}
	}

	/**
	 * Reads the holders from the store now.
	 * @param done receives the holders, or null if the store does not answer
	 */
	void fetchHolders(Consumer<@Nullable ShardHolders> done) {
		this.store.shardHolders().whenComplete((found, error) -> {
			if (error == null) {
				updateHolders(found);
			}
			done.accept((error != null) ? null : found);
		});
	}

	/**
	 * Returns the generation of the shards that this daemon holds.
	 * @return generation of its last join
	 */
	public long generation() {
		return this.generation;
	}

	/**
	 * Leaves the group, once all appends are done.
	 * @param done runs after the store has answered, or has failed to
	 */
	public void leave(Runnable done) {
		this.leaving = true;
		if (!this.owned.isIdle()) {
			this.loop.schedule(() -> leave(done), LEAVE_CHECK_MS, TimeUnit.MILLISECONDS);
			return;
		}
		this.owned.retainOnly((number) -> false);
		this.store.leave(this.self.text()).whenComplete((ok, error) -> {
			if (error != null) {
				logger.warn("leaving failed: {}", error.getMessage());
			}
			this.changed.run();
			readOwners();
			done.run();
		});
	}

	/**
	 * Returns a shard that this daemon holds and answers for.
	 * @param shard number of the shard
	 * @return the shard, or null
	 */
	@Nullable OwnedShard findReadyShard(int shard) {
		return this.owned.findReady(shard);
	}

	/**
	 * Returns the shards that this daemon holds.
	 * @return the shards, by number
	 */
	Map<Integer, OwnedShard> ownedShards() {
		return this.owned.byNumber();
	}

	/**
	 * Tells whether this daemon holds a shard and answers for it.
	 * @param shard number of the shard
	 * @return whether it does
	 */
	public boolean holds(int shard) {
		return findReadyShard(shard) != null;
	}

	/**
	 * Returns the address of the holder of a shard.
	 * @param shard number of the shard
	 * @return peer address, or null if unknown or this daemon
	 */
	public @Nullable String holderAddress(int shard) {
		return this.holders.holderAddress(shard);
	}

	/**
	 * Returns the addresses of all other daemons that hold shards.
	 * @return peer addresses
	 */
	public Set<String> peerAddresses() {
		return this.holders.peerAddresses();
	}

	/**
	 * Tells whether this daemon can serve turns: all its shards are read and the holders
	 * of the others are known.
	 * @return whether it can
	 */
	public boolean isReady() {
		return !this.holders.isEmpty() && this.owned.isReady();
	}

	/**
	 * Tells whether the store answers this daemon neither directly nor through another
	 * one. Shards can't change hands meanwhile.
	 * @return whether it is away
	 */
	public boolean isStoreUnavailable() {
		return this.health.isUnavailable();
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

	public int ownedShardCount() {
		return this.owned.byNumber().size();
	}

	public int turnCount() {
		return this.owned.turnCount();
	}

}

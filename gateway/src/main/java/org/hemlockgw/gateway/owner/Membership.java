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

import org.hemlockgw.core.quota.ClockReading;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.peer.PeerLinks;
import org.hemlockgw.gateway.peer.PeerMessage;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Membership of this daemon in the store's group: the shards that it holds and the known
 * holders of the others.
 */
public final class Membership {

	private static final Logger logger = LoggerFactory.getLogger(Membership.class);

	/**
	 * Factor for Fibonacci hashing, which spreads names that differ only in their last
	 * characters.
	 */
	private static final int HASH_FACTOR = 0x9E3779B9;

	/**
	 * Interval of joins in milliseconds: a third of the shortest lifetime of a member
	 * that does not rejoin.
	 */
	static final long JOIN_INTERVAL_MS = 350;

	/**
	 * Interval in milliseconds of joins while the store is unavailable. Turns wait for
	 * the first answer.
	 */
	private static final long PROBE_INTERVAL_MS = 150;

	/**
	 * Interval in milliseconds of regular reads of all shard holders; a refresh reads
	 * them earlier.
	 */
	private static final long HOLDERS_INTERVAL_MS = 2000;

	/**
	 * Minimum time in milliseconds between two refreshes; calls to the store are charged
	 * for.
	 */
	private static final long MIN_REFRESH_INTERVAL_MS = 100;

	/**
	 * Interval in milliseconds at which a leaving daemon checks for appends in progress.
	 */
	private static final long LEAVE_POLL_INTERVAL_MS = 2;

	/** Interval in milliseconds at which expired turns are removed. */
	private static final long EXPIRY_INTERVAL_MS = 5000;

	private final EventLoop loop;

	private final RelayedStore store;

	private final MemberName self;

	private final Runnable onShardsLost;

	private final OwnedShards owned;

	private final StoreHealth health;

	private final PeerLinks peers;

	private final KnownMembers members;

	private final ShardHolderTable holders;

	private final LongSupplier nanoClock;

	private long generation;

	private final GroupJoins joins;

	private AssignmentListener assignmentListener = AssignmentListener.NONE;

	private boolean leaving;

	private boolean readingHolders;

	private long lastRefreshNanos;

	/**
	 * Creates a member that has not joined yet.
	 * @param loop event loop
	 * @param store the store
	 * @param clock wall clock
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param self name of this daemon
	 * @param peers connections to other daemons
	 * @param onShardsLost called when this daemon has lost shards
	 */
	public Membership(EventLoop loop, StateStore store, InstantSource clock, LongSupplier nanoClock, MemberName self,
			PeerLinks peers, Runnable onShardsLost) {
		this.loop = loop;
		this.nanoClock = nanoClock;
		this.self = self;
		this.onShardsLost = onShardsLost;
		this.peers = peers;
		this.members = new KnownMembers(self, nanoClock);
		this.holders = new ShardHolderTable(self, nanoClock);
		this.health = new StoreHealth(nanoClock, this::resendAppends);
		this.store = new RelayedStore(store, peers, this.members);
		this.joins = new GroupJoins(this.store, self, this.health, new JoinSequence(nanoClock, JOIN_INTERVAL_MS / 2),
				() -> this.generation, () -> new ClockReading(nanoClock.getAsLong(), clock.millis()), this::apply);
		this.owned = new OwnedShards(loop, this.store, clock, nanoClock, this.health, this::refresh, this::announce);
	}

	/**
	 * Sets the listener for assignments.
	 * @param listener the listener
	 */
	public void setAssignmentListener(AssignmentListener listener) {
		this.assignmentListener = listener;
	}

	public void start() {
		this.loop.scheduleAtFixedRate(this.joins::join, 0, JOIN_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this.joins::probe, PROBE_INTERVAL_MS, PROBE_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this::readHolders, 0, HOLDERS_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(this.owned::removeExpired, EXPIRY_INTERVAL_MS, EXPIRY_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
	}

	private void resendAppends() {
		this.owned.resend();
	}

	/**
	 * Joins and reads the shard holders now, unless the last refresh was very recent.
	 */
	public void refresh() {
		long now = this.nanoClock.getAsLong();
		if (now - this.lastRefreshNanos < TimeUnit.MILLISECONDS.toNanos(MIN_REFRESH_INTERVAL_MS)) {
			return;
		}
		this.lastRefreshNanos = now;
		this.joins.join();
		readHolders();
	}

	private void apply(ShardAssignment assignment, ClockReading sent) {
		if (this.leaving || assignment.generation() < this.generation) {
			return;
		}
		boolean generationChanged = assignment.generation() != this.generation;
		boolean generationSkipped = assignment.generation() > this.generation + 1;
		this.generation = assignment.generation();
		Set<Integer> lost = this.owned.retainOnly(assignment.shards()::contains);
		if (generationSkipped) {
			// A shard may have been assigned to another daemon and back in the meantime.
			this.owned.confirmOwnership();
		}
		this.owned.acquireAll(assignment.shards(), this.generation);
		this.assignmentListener.assigned(assignment, sent);
		if (generationChanged) {
			logger.atInfo()
				.addKeyValue(LogFields.GENERATION, this.generation)
				.addKeyValue(LogFields.SHARDS, assignment.shards())
				.addKeyValue(LogFields.LOST, lost)
				.log("shards are assigned");
			readHolders();
		}
		if (!lost.isEmpty()) {
			// Without a notification, the new holder would discover its shards only at
			// its next join.
			this.onShardsLost.run();
		}
	}

	// Without a notification, the previous holder would keep the shard until its next
	// join or append.
	private void announce(OwnedShard shard) {
		PeerMessage fenced = new PeerMessage.ShardFenced(shard.number(), shard.epoch());
		this.members.all().forEach((member) -> this.peers.sendOneWay(member.peerAddress(), fenced));
	}

	/**
	 * Relinquishes a shard if another daemon has taken it over.
	 * @param fenced the notification of the other daemon
	 */
	public void handle(PeerMessage.ShardFenced fenced) {
		if (this.owned.relinquishIfOlder(fenced.shard(), fenced.epoch())) {
			this.joins.join();
		}
	}

	/**
	 * Calls the store on behalf of a daemon whose own calls fail.
	 * @param call the call
	 * @param reply receives the answer
	 */
	public void relay(PeerMessage.StoreCall call, Consumer<PeerMessage> reply) {
		this.store.handle(call, reply);
	}

	private void readHolders() {
		if (this.readingHolders) {
			return;
		}
		this.readingHolders = true;
		this.store.shardHolders().whenComplete((found, error) -> {
			this.readingHolders = false;
			if (error == null) {
				updateHolders(found);
				return;
			}
			logger.atWarn().addKeyValue(LogFields.REASON, error.getMessage()).log("failed to read the shard holders");
		});
	}

	/**
	 * Updates the shard holders unless the new ones are older than the current ones, and
	 * relinquishes shards that other daemons hold now.
	 * @param found holders read from the store
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
					.log("shards were assigned to other daemons");
			}
			this.joins.join();
		}
	}

	/**
	 * Reads the shard holders from the store now.
	 * @param done called with the holders, or with null if the store does not answer
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
	 * Returns the generation of the assignment that this daemon has received.
	 * @return generation of its last join
	 */
	public long generation() {
		return this.generation;
	}

	/**
	 * Leaves the group after all appends have completed.
	 * @param done called after the store has answered or the call has failed
	 */
	public void leave(Runnable done) {
		this.leaving = true;
		this.joins.stop();
		if (!this.owned.isIdle()) {
			this.loop.schedule(() -> leave(done), LEAVE_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
			return;
		}
		this.owned.retainOnly((number) -> false);
		this.assignmentListener.released();
		this.store.leave(this.self.text()).whenComplete((result, error) -> {
			if (error != null) {
				logger.warn("failed to leave the group: {}", error.getMessage());
			}
			this.onShardsLost.run();
			readHolders();
			done.run();
		});
	}

	/**
	 * Returns a shard if this daemon holds it and has loaded its records.
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
	 * Returns whether this daemon holds a shard and has loaded its records.
	 * @param shard number of the shard
	 * @return whether the shard is ready on this daemon
	 */
	public boolean holds(int shard) {
		return findReadyShard(shard) != null;
	}

	/**
	 * Returns the address of the holder of a shard.
	 * @param shard number of the shard
	 * @return peer address, or null if the holder is unknown or this daemon
	 */
	public @Nullable String holderAddress(int shard) {
		return this.holders.holderAddress(shard);
	}

	/**
	 * Returns the daemon that held a shard last, other than this one.
	 * @param shard number of the shard
	 * @return the holder, or null if none is known
	 */
	public @Nullable PreviousHolder previousHolder(int shard) {
		return this.holders.previousHolder(shard);
	}

	/**
	 * Returns the addresses of all other daemons that hold shards.
	 * @return peer addresses
	 */
	public Set<String> peerAddresses() {
		return this.holders.peerAddresses();
	}

	/**
	 * Returns whether this daemon can serve turns: the records of all its shards are
	 * loaded and the holders of the others are known.
	 * @return whether it can serve turns
	 */
	public boolean isReady() {
		return !this.holders.isEmpty() && this.owned.isReady();
	}

	/**
	 * Returns whether the store answers this daemon neither directly nor through another
	 * one. Shards cannot change holders in the meantime.
	 * @return whether the store is unavailable
	 */
	public boolean isStoreUnavailable() {
		return this.health.isUnavailable();
	}

	/**
	 * Returns the shard of a program or pool.
	 * @param name name of the program or pool
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

	/**
	 * Returns the number of records that the store has not acknowledged yet.
	 * @return number of records of all shards that this daemon holds
	 */
	public int unacknowledgedRecordCount() {
		return this.owned.unacknowledgedCount();
	}

}

package org.hemlockgw.gateway.owner;

import java.time.InstantSource;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.store.StateStore;

/**
 * Shards that this daemon holds.
 */
final class OwnedShards {

	/** Take-overs within one generation; each uses two epochs. */
	private static final long TAKE_OVERS_PER_GENERATION = 1000;

	private final EventLoop loop;

	private final StateStore store;

	private final InstantSource clock;

	private final StoreHealth health;

	private final CopyManager copies;

	private final Runnable fenced;

	private final Map<Integer, OwnedShard> byNumber = new HashMap<>();

	private long takeOvers;

	/**
	 * Creates an empty set.
	 * @param loop event loop
	 * @param store the store
	 * @param clock time of day
	 * @param health whether the store answers
	 * @param copies copies of records at other daemons
	 * @param fenced runs when another daemon has taken a shard over
	 */
	OwnedShards(EventLoop loop, StateStore store, InstantSource clock, StoreHealth health, CopyManager copies,
			Runnable fenced) {
		this.loop = loop;
		this.store = store;
		this.clock = clock;
		this.health = health;
		this.copies = copies;
		this.fenced = fenced;
	}

	/**
	 * Takes over the shards that are not held yet.
	 * @param numbers numbers of all shards to hold
	 * @param generation generation of the assignment
	 */
	void acquireAll(Set<Integer> numbers, long generation) {
		Set<Integer> gained = new TreeSet<>(numbers);
		gained.removeAll(this.byNumber.keySet());
		gained.forEach((number) -> take(number, generation));
	}

	private void take(int number, long generation) {
		long epoch = 2 * (generation * TAKE_OVERS_PER_GENERATION + this.takeOvers++ % TAKE_OVERS_PER_GENERATION);
		ShardWriter writer = new ShardWriter(this.loop, this.store, this.health, this.copies, number, epoch, () -> {
			drop(number);
			this.fenced.run();
		});
		OwnedShard shard = new OwnedShard(this.loop, this.store, this.clock, number, writer);
		this.byNumber.put(number, shard);
		shard.acquire((done) -> this.copies.collect(number, epoch, done));
	}

	/**
	 * Gives up shards.
	 * @param kept tells which shards are kept
	 * @return numbers of the others, in order
	 */
	Set<Integer> retainOnly(IntPredicate kept) {
		Set<Integer> lost = new TreeSet<>(this.byNumber.keySet());
		lost.removeIf(kept::test);
		lost.forEach(this::drop);
		return lost;
	}

	/**
	 * Gives up a shard if its writer is older than another one.
	 * @param number number of the shard
	 * @param epoch epoch of the other writer
	 * @return whether it was given up
	 */
	boolean relinquishIfOlder(int number, long epoch) {
		OwnedShard shard = this.byNumber.get(number);
		if (shard == null || shard.epoch() >= epoch) {
			return false;
		}
		drop(number);
		return true;
	}

	private void drop(int number) {
		OwnedShard shard = this.byNumber.remove(number);
		if (shard != null) {
			this.copies.keepOwnRecords(number, shard.epoch(), shard.relinquish());
		}
	}

	void confirmOwnership() {
		this.byNumber.values().forEach(OwnedShard::confirmOwnership);
	}

	void removeExpired() {
		this.byNumber.values().forEach(OwnedShard::removeExpired);
	}

	/**
	 * Returns a shard if it answers.
	 * @param number number of the shard
	 * @return the shard, or null if it is not held or not read yet
	 */
	@Nullable OwnedShard findReady(int number) {
		OwnedShard found = this.byNumber.get(number);
		return (found != null && found.isReady()) ? found : null;
	}

	boolean isReady() {
		return this.byNumber.values().stream().allMatch(OwnedShard::isReady);
	}

	boolean isIdle() {
		return this.byNumber.values().stream().allMatch(OwnedShard::isIdle);
	}

	int turnCount() {
		return this.byNumber.values().stream().mapToInt(OwnedShard::turnCount).sum();
	}

	Map<Integer, OwnedShard> byNumber() {
		return Collections.unmodifiableMap(this.byNumber);
	}

}

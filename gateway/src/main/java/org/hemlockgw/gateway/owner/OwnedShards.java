package org.hemlockgw.gateway.owner;

import java.time.InstantSource;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.store.StateStore;

/**
 * Shards that this daemon holds.
 */
final class OwnedShards {

	/**
	 * Number of acquisitions with distinct epochs in one generation; each uses two
	 * epochs.
	 */
	private static final long ACQUISITIONS_PER_GENERATION = 1000;

	private final EventLoop loop;

	private final StateStore store;

	private final InstantSource clock;

	private final LongSupplier nanoClock;

	private final StoreHealth health;

	private final Runnable onFenced;

	private final Consumer<OwnedShard> onAcquired;

	private final Map<Integer, OwnedShard> byNumber = new HashMap<>();

	private long acquisitions;

	/**
	 * Creates an empty set.
	 * @param loop event loop
	 * @param store the store
	 * @param clock wall clock
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param health availability of the store
	 * @param onFenced called when another daemon has taken over a shard
	 * @param onAcquired called when a shard is ready
	 */
	OwnedShards(EventLoop loop, StateStore store, InstantSource clock, LongSupplier nanoClock, StoreHealth health,
			Runnable onFenced, Consumer<OwnedShard> onAcquired) {
		this.loop = loop;
		this.store = store;
		this.clock = clock;
		this.nanoClock = nanoClock;
		this.health = health;
		this.onFenced = onFenced;
		this.onAcquired = onAcquired;
	}

	/**
	 * Acquires the shards that are not held yet.
	 * @param numbers numbers of all shards to hold
	 * @param generation generation of the assignment
	 */
	void acquireAll(Set<Integer> numbers, long generation) {
		Set<Integer> acquired = new TreeSet<>(numbers);
		acquired.removeAll(this.byNumber.keySet());
		acquired.forEach((number) -> acquire(number, generation));
	}

	private void acquire(int number, long generation) {
		long epoch = 2 * (generation * ACQUISITIONS_PER_GENERATION + this.acquisitions++ % ACQUISITIONS_PER_GENERATION);
		ShardWriter writer = new ShardWriter(this.loop, this.store, this.health, this.nanoClock, number, epoch, () -> {
			relinquish(number);
			this.onFenced.run();
		});
		OwnedShard shard = new OwnedShard(this.loop, this.store, this.clock, number, writer);
		this.byNumber.put(number, shard);
		shard.acquire(() -> this.onAcquired.accept(shard));
	}

	/**
	 * Relinquishes all shards except those to retain.
	 * @param retained selects the shards to retain
	 * @return numbers of the relinquished shards in ascending order
	 */
	Set<Integer> retainOnly(IntPredicate retained) {
		Set<Integer> lost = new TreeSet<>(this.byNumber.keySet());
		lost.removeIf(retained::test);
		lost.forEach(this::relinquish);
		return lost;
	}

	/**
	 * Relinquishes a shard if its writer is older than another one.
	 * @param number number of the shard
	 * @param epoch epoch of the other writer
	 * @return whether the shard was relinquished
	 */
	boolean relinquishIfOlder(int number, long epoch) {
		OwnedShard shard = this.byNumber.get(number);
		if (shard == null || shard.epoch() >= epoch) {
			return false;
		}
		relinquish(number);
		return true;
	}

	private void relinquish(int number) {
		OwnedShard shard = this.byNumber.remove(number);
		if (shard != null) {
			shard.relinquish();
		}
	}

	void confirmOwnership() {
		this.byNumber.values().forEach(OwnedShard::confirmOwnership);
	}

	/**
	 * Repeats the appends in progress, because the store has become available again.
	 */
	void resend() {
		List.copyOf(this.byNumber.values()).forEach(OwnedShard::resend);
	}

	void removeExpired() {
		this.byNumber.values().forEach(OwnedShard::removeExpired);
	}

	/**
	 * Returns a shard if it is ready.
	 * @param number number of the shard
	 * @return the shard, or null if it is not held or not loaded yet
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

	int unacknowledgedCount() {
		return this.byNumber.values().stream().mapToInt(OwnedShard::unacknowledgedCount).sum();
	}

	Map<Integer, OwnedShard> byNumber() {
		return Collections.unmodifiableMap(this.byNumber);
	}

}

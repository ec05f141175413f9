package org.hemlockgw.gateway.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.store.KeyedValue;

/**
 * Copies of records that other daemons, or this one before it lost a shard, could not
 * store. The daemon that takes over the shard collects them; copies from earlier epochs
 * are rejected from then on.
 */
final class CopyBuffer {

	/**
	 * Time in seconds for which copies are kept; longer than any known outage of the
	 * store.
	 */
	private static final long RETENTION_S = 120;

	private final LongSupplier nanoClock;

	private final Map<Integer, Entry> byShard = new HashMap<>();

	private final Map<Integer, Long> collectedEpochs = new HashMap<>();

	CopyBuffer(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	/**
	 * Adds copies.
	 * @param shard number of the shard
	 * @param epoch epoch of the writer
	 * @param records the records
	 * @return false if a later writer has collected the copies of this shard
	 */
	boolean put(int shard, long epoch, List<KeyedValue> records) {
		if (this.collectedEpochs.getOrDefault(shard, -1L) > epoch) {
			return false;
		}
		long now = this.nanoClock.getAsLong();
		this.byShard.values().removeIf((entry) -> now - entry.updatedNanos > TimeUnit.SECONDS.toNanos(RETENTION_S));
		Entry entry = this.byShard.computeIfAbsent(shard, (key) -> new Entry());
		entry.updatedNanos = now;
		if (!records.isEmpty()) {
			entry.deliveredTo = null;
		}
		records.forEach((record) -> entry.records.put(record.key(), record));
		return true;
	}

	/**
	 * Returns the shards that have copies.
	 * @return numbers of the shards
	 */
	List<Integer> shards() {
		return List.copyOf(this.byShard.keySet());
	}

	/**
	 * Returns the copies of a shard, unless its holder has received all of them.
	 * @param shard number of the shard
	 * @param holder the holder
	 * @return records, one for each key
	 */
	List<KeyedValue> undelivered(int shard, MemberName holder) {
		Entry entry = this.byShard.get(shard);
		return (entry != null && !holder.equals(entry.deliveredTo)) ? new ArrayList<>(entry.records.values())
				: List.of();
	}

	/**
	 * Records that the holder of a shard has received its copies, unless copies were
	 * added in the meantime.
	 * @param shard number of the shard
	 * @param holder the holder
	 * @param count number of records that the holder has received
	 */
	void markDelivered(int shard, MemberName holder, int count) {
		Entry entry = this.byShard.get(shard);
		if (entry != null && entry.records.size() == count) {
			entry.deliveredTo = holder;
		}
	}

	/**
	 * Returns all copies of a shard and rejects those of earlier epochs from now on.
	 * @param shard number of the shard
	 * @param epoch epoch of the new writer
	 * @return records, one for each key
	 */
	List<KeyedValue> collect(int shard, long epoch) {
		this.collectedEpochs.merge(shard, epoch, Math::max);
		Entry entry = this.byShard.get(shard);
		return (entry != null) ? new ArrayList<>(entry.records.values()) : List.of();
	}

	private static final class Entry {

		private final Map<String, KeyedValue> records = new LinkedHashMap<>();

		private long updatedNanos;

		private @Nullable MemberName deliveredTo;

	}

}

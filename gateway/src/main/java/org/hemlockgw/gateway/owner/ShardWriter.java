package org.hemlockgw.gateway.owner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Appends of one shard in one epoch, one call at a time. Records that arrive during a
 * call ride in the next one; only the newest of a key is written. A call whose outcome is
 * unknown is repeated with the same number until the store answers. While the store is
 * away, records count as durable once other daemons keep copies of them.
 */
final class ShardWriter {

	private static final Logger logger = LoggerFactory.getLogger(ShardWriter.class);

	/** Pause before a failed append is repeated, in milliseconds. */
	private static final long RETRY_MS = 60;

	/** Interval in milliseconds at which waiting records are offered to other daemons. */
	private static final long COPY_MS = 50;

	/**
	 * Records in one call; 256 turns of some KB stay below the store's size of a call.
	 */
	private static final int MAX_RECORDS = 256;

	/** Bytes in one call; half of the smallest limit that the platform names. */
	private static final int MAX_BYTES = 1024 * 1024;

	private final EventLoop loop;

	private final StateStore store;

	private final StoreHealth health;

	private final CopySender copies;

	private final int shard;

	private final long epoch;

	private final Runnable fenced;

	private final Map<String, KeyedValue> pending = new LinkedHashMap<>();

	private final List<Waiter> waiters = new ArrayList<>();

	private List<KeyedValue> inFlight = List.of();

	private List<Waiter> inFlightWaiters = List.of();

	private long sequence;

	private boolean opened;

	private boolean busy;

	private boolean copying;

	private boolean ended;

	ShardWriter(EventLoop loop, StateStore store, StoreHealth health, CopySender copies, int shard, long epoch,
			Runnable fenced) {
		this.loop = loop;
		this.store = store;
		this.health = health;
		this.copies = copies;
		this.shard = shard;
		this.epoch = epoch;
		this.fenced = fenced;
	}

	/**
	 * Sets the epoch, which fences earlier writers.
	 * @param done receives true once that is done, false if this writer is fenced itself
	 */
	void open(Consumer<Boolean> done) {
		this.busy = true;
		this.inFlightWaiters = List.of(new Waiter(List.of(), done));
		send();
	}

	// Setting an epoch may or may not use up a sequence number, so the records that
	// follow have the next epoch, which may start at any number.
	private long currentEpoch() {
		return this.opened ? this.epoch + 1 : this.epoch;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Appends records.
	 * @param records the records
	 * @param done receives true once they are durable, false if the shard was lost
	 */
	void append(List<KeyedValue> records, Consumer<Boolean> done) {
		if (this.ended) {
			done.accept(false);
			return;
		}
		records.forEach((record) -> {
			this.pending.remove(record.key());
			this.pending.put(record.key(), record);
		});
		this.waiters.add(new Waiter(records, done));
		flush();
		if (this.copies.isCopyRequired()) {
			copy();
		}
	}

	boolean isIdle() {
		return !this.busy && this.pending.isEmpty();
	}

	/**
	 * Ends the writer. All waiters hear that their records may not be durable.
	 * @return records that the store may not have
	 */
	List<KeyedValue> close() {
		Map<String, KeyedValue> left = new LinkedHashMap<>();
		if (this.opened && !this.ended) {
			this.inFlight.forEach((record) -> left.put(record.key(), record));
			left.putAll(this.pending);
		}
		this.ended = true;
		List<Waiter> lost = new ArrayList<>(this.inFlightWaiters);
		lost.addAll(this.waiters);
		this.inFlight = List.of();
		this.inFlightWaiters = List.of();
		this.waiters.clear();
		this.pending.clear();
		lost.forEach((waiter) -> waiter.tell(false));
		return List.copyOf(left.values());
	}

	private void flush() {
		if (this.busy || this.ended || this.waiters.isEmpty()) {
			return;
		}
		this.busy = true;
		List<KeyedValue> batch = new ArrayList<>();
		int bytes = 0;
		while (!this.pending.isEmpty() && batch.size() < MAX_RECORDS && bytes < MAX_BYTES) {
			KeyedValue next = this.pending.values().iterator().next();
			this.pending.remove(next.key());
			batch.add(next);
			bytes += next.value().length;
		}
		this.inFlight = batch;
		// Waiters are told only once nothing that they wait for is left.
		this.inFlightWaiters = this.pending.isEmpty() ? List.copyOf(this.waiters) : List.of();
		this.waiters.removeAll(this.inFlightWaiters);
		send();
	}

	private void send() {
		if (this.ended) {
			return;
		}
		this.store.append(this.shard, currentEpoch(), this.sequence, this.inFlight).whenComplete((outcome, error) -> {
			if (this.ended) {
				return;
			}
			if (error != null) {
				logger.atWarn()
					.addKeyValue(LogFields.SHARD, this.shard)
					.addKeyValue(LogFields.EPOCH, currentEpoch())
					.addKeyValue(LogFields.REASON, error.getMessage())
					.log("append failed and is repeated");
				this.loop.schedule(this::send, RETRY_MS, TimeUnit.MILLISECONDS);
				copyLater();
				return;
			}
			this.health.recordAnswer();
			if (outcome == AppendOutcome.FENCED) {
				logger.atWarn()
					.addKeyValue(LogFields.SHARD, this.shard)
					.addKeyValue(LogFields.EPOCH, this.epoch)
					.log("another daemon has taken the shard over");
				this.fenced.run();
				return;
			}
			stored();
		});
		if (this.opened) {
			copyLater();
		}
	}

	private void stored() {
		this.sequence = this.opened ? this.sequence + 1 : 0;
		this.opened = true;
		this.busy = false;
		List<Waiter> told = this.inFlightWaiters;
		this.inFlight = List.of();
		this.inFlightWaiters = List.of();
		told.forEach((waiter) -> waiter.tell(true));
		flush();
	}

	private void copyLater() {
		if (this.copying || !this.opened) {
			return;
		}
		this.copying = true;
		this.loop.schedule(() -> {
			this.copying = false;
			if (!this.busy || this.ended) {
				return;
			}
			if (this.copies.isCopyRequired()) {
				copy();
			}
			copyLater();
		}, COPY_MS, TimeUnit.MILLISECONDS);
	}

	private void copy() {
		List<Waiter> untold = new ArrayList<>(this.inFlightWaiters);
		untold.addAll(this.waiters);
		untold.removeIf((waiter) -> waiter.told || waiter.copying);
		if (untold.isEmpty() || !this.opened) {
			return;
		}
		Map<String, KeyedValue> records = new LinkedHashMap<>();
		untold.forEach((waiter) -> {
			waiter.copying = true;
			waiter.records.forEach((record) -> records.put(record.key(), record));
		});
		this.copies.send(this.shard, this.epoch, List.copyOf(records.values()), (kept) -> untold.forEach((waiter) -> {
			waiter.copying = false;
			if (kept && !this.ended) {
				waiter.tell(true);
			}
		}));
	}

	/**
	 * Someone who waits for records to be durable.
	 */
	private static final class Waiter {

		private final List<KeyedValue> records;

		private final Consumer<Boolean> done;

		private boolean told;

		private boolean copying;

		Waiter(List<KeyedValue> records, Consumer<Boolean> done) {
			this.records = records;
			this.done = done;
		}

		void tell(boolean durable) {
			if (!this.told) {
				this.told = true;
				this.done.accept(durable);
			}
		}

	}

}

package org.hemlockgw.gateway.owner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.StateStore;
import org.hemlockgw.gateway.telemetry.LogFields;

/**
 * Appends the records of one shard in one epoch, one call at a time. Records that arrive
 * during a call are sent with the next one; only the newest record of each key is
 * written. A call whose outcome is unknown is repeated with the same sequence number
 * until the store answers. While the store is unavailable, records count as durable once
 * other daemons keep copies of them.
 */
final class ShardWriter {

	private static final Logger logger = LoggerFactory.getLogger(ShardWriter.class);

	/** Delay in milliseconds before a failed append is retried. */
	private static final long RETRY_DELAY_MS = 60;

	/**
	 * Interval in milliseconds at which pending records are sent to other daemons while
	 * the store is unavailable.
	 */
	private static final long COPY_INTERVAL_MS = 50;

	/**
	 * Maximum number of records in one call; 256 turns of a few KB stay below the store's
	 * limit on the size of a call.
	 */
	private static final int MAX_CALL_RECORDS = 256;

	/**
	 * Size of a call in bytes from which on no record is added; half of the smallest
	 * limit that the platform specifies.
	 */
	private static final int MAX_CALL_BYTES = 1024 * 1024;

	private final EventLoop loop;

	private final StateStore store;

	private final StoreHealth health;

	private final CopySender copies;

	private final LongSupplier nanoClock;

	private final int shard;

	private final long epoch;

	private final Runnable onFenced;

	private final Map<String, KeyedValue> pending = new LinkedHashMap<>();

	private final List<Waiter> waiters = new ArrayList<>();

	private List<KeyedValue> inFlight = List.of();

	private List<Waiter> inFlightWaiters = List.of();

	private long batchStartNanos;

	private long sequence;

	private boolean opened;

	private boolean callInProgress;

	private boolean copyScheduled;

	private boolean closed;

	ShardWriter(EventLoop loop, StateStore store, StoreHealth health, CopySender copies, LongSupplier nanoClock,
			int shard, long epoch, Runnable onFenced) {
		this.loop = loop;
		this.store = store;
		this.health = health;
		this.copies = copies;
		this.nanoClock = nanoClock;
		this.shard = shard;
		this.epoch = epoch;
		this.onFenced = onFenced;
	}

	/**
	 * Sets the epoch, which fences earlier writers.
	 * @param done called with true once the epoch is set, or with false if this writer is
	 * fenced itself
	 */
	void open(Consumer<Boolean> done) {
		this.callInProgress = true;
		this.inFlightWaiters = List.of(new Waiter(List.of(), done));
		send();
	}

	// Setting an epoch may or may not consume a sequence number, so subsequent records
	// use the next epoch, which may start at any number.
	private long currentEpoch() {
		return this.opened ? this.epoch + 1 : this.epoch;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Appends records.
	 * @param records the records
	 * @param done called with true once they are durable, or with false if the shard was
	 * lost
	 */
	void append(List<KeyedValue> records, Consumer<Boolean> done) {
		if (this.closed) {
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
			sendCopies();
		}
	}

	/**
	 * Returns the number of records that the store has not acknowledged.
	 * @return number of records in the current call and in the queue
	 */
	int unacknowledgedCount() {
		return this.inFlight.size() + this.pending.size();
	}

	boolean isIdle() {
		return !this.callInProgress && this.pending.isEmpty();
	}

	/**
	 * Closes the writer and notifies all waiters that their records may not be durable.
	 * @return records that the store may not contain
	 */
	List<KeyedValue> close() {
		Map<String, KeyedValue> unstored = new LinkedHashMap<>();
		if (this.opened && !this.closed) {
			this.inFlight.forEach((record) -> unstored.put(record.key(), record));
			unstored.putAll(this.pending);
		}
		this.closed = true;
		List<Waiter> abandoned = new ArrayList<>(this.inFlightWaiters);
		abandoned.addAll(this.waiters);
		this.inFlight = List.of();
		this.inFlightWaiters = List.of();
		this.waiters.clear();
		this.pending.clear();
		abandoned.forEach((waiter) -> waiter.complete(false));
		return List.copyOf(unstored.values());
	}

	private void flush() {
		if (this.callInProgress || this.closed || this.waiters.isEmpty()) {
			return;
		}
		this.callInProgress = true;
		this.batchStartNanos = this.nanoClock.getAsLong();
		List<KeyedValue> batch = new ArrayList<>();
		int bytes = 0;
		while (!this.pending.isEmpty() && batch.size() < MAX_CALL_RECORDS && bytes < MAX_CALL_BYTES) {
			KeyedValue next = this.pending.values().iterator().next();
			this.pending.remove(next.key());
			batch.add(next);
			bytes += next.value().length;
		}
		this.inFlight = batch;
		// Waiters are notified only by the call that empties the queue, because it
		// contains the last of their records.
		this.inFlightWaiters = this.pending.isEmpty() ? List.copyOf(this.waiters) : List.of();
		this.waiters.removeAll(this.inFlightWaiters);
		send();
	}

	private void send() {
		if (this.closed) {
			return;
		}
		this.store.append(this.shard, currentEpoch(), this.sequence, this.inFlight).whenComplete((outcome, error) -> {
			if (this.closed) {
				return;
			}
			if (error != null) {
				logger.atWarn()
					.addKeyValue(LogFields.SHARD, this.shard)
					.addKeyValue(LogFields.EPOCH, currentEpoch())
					.addKeyValue(LogFields.REASON, error.getMessage())
					.log("append failed; retrying");
				this.loop.schedule(this::send, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
				scheduleCopy();
				return;
			}
			this.health.recordAnswer();
			if (outcome == AppendOutcome.FENCED) {
				logger.atWarn()
					.addKeyValue(LogFields.SHARD, this.shard)
					.addKeyValue(LogFields.EPOCH, this.epoch)
					.log("append rejected: another daemon has taken over the shard");
				this.onFenced.run();
				return;
			}
			onStored();
		});
		if (this.opened) {
			scheduleCopy();
		}
	}

	private void onStored() {
		if (!this.inFlight.isEmpty()) {
			logIfDelayed();
		}
		this.sequence = this.opened ? this.sequence + 1 : 0;
		this.opened = true;
		this.callInProgress = false;
		List<Waiter> completed = this.inFlightWaiters;
		this.inFlight = List.of();
		this.inFlightWaiters = List.of();
		completed.forEach((waiter) -> waiter.complete(true));
		flush();
	}

	private void logIfDelayed() {
		long waitMs = TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - this.batchStartNanos);
		if (waitMs > StoreHealth.UNAVAILABLE_MS) {
			logger.atInfo()
				.addKeyValue(LogFields.SHARD, this.shard)
				.addKeyValue(LogFields.EPOCH, this.epoch)
				.addKeyValue(LogFields.RECORDS, unacknowledgedCount())
				.addKeyValue(LogFields.STORE_WAIT_MS, waitMs)
				.log("store acknowledges records again");
		}
	}

	private void scheduleCopy() {
		if (this.copyScheduled || !this.opened) {
			return;
		}
		this.copyScheduled = true;
		this.loop.schedule(() -> {
			this.copyScheduled = false;
			if (!this.callInProgress || this.closed) {
				return;
			}
			if (this.copies.isCopyRequired()) {
				sendCopies();
			}
			scheduleCopy();
		}, COPY_INTERVAL_MS, TimeUnit.MILLISECONDS);
	}

	private void sendCopies() {
		List<Waiter> unnotified = new ArrayList<>(this.inFlightWaiters);
		unnotified.addAll(this.waiters);
		unnotified.removeIf((waiter) -> waiter.notified || waiter.copying);
		if (unnotified.isEmpty() || !this.opened) {
			return;
		}
		Map<String, KeyedValue> records = new LinkedHashMap<>();
		unnotified.forEach((waiter) -> {
			waiter.copying = true;
			waiter.records.forEach((record) -> records.put(record.key(), record));
		});
		this.copies.send(this.shard, this.epoch, List.copyOf(records.values()),
				(kept) -> unnotified.forEach((waiter) -> {
					waiter.copying = false;
					if (kept && !this.closed) {
						waiter.complete(true);
					}
				}));
	}

	/**
	 * Callback that is notified once its records are durable or lost.
	 */
	private static final class Waiter {

		private final List<KeyedValue> records;

		private final Consumer<Boolean> done;

		private boolean notified;

		private boolean copying;

		Waiter(List<KeyedValue> records, Consumer<Boolean> done) {
			this.records = records;
			this.done = done;
		}

		void complete(boolean durable) {
			if (!this.notified) {
				this.notified = true;
				this.done.accept(durable);
			}
		}

	}

}

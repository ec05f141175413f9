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
 * until the store answers. Records are durable only once the store has acknowledged them,
 * because all VMs can be lost at the same time.
 */
final class ShardWriter {

	private static final Logger logger = LoggerFactory.getLogger(ShardWriter.class);

	/** Delay in milliseconds before a failed append is retried. */
	private static final long RETRY_DELAY_MS = 60;

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

	private final LongSupplier nanoClock;

	private final int shard;

	private final long epoch;

	private final Runnable onFenced;

	private final Map<String, KeyedValue> pending = new LinkedHashMap<>();

	private final List<Consumer<Boolean>> waiters = new ArrayList<>();

	private List<KeyedValue> inFlight = List.of();

	private List<Consumer<Boolean>> inFlightWaiters = List.of();

	private long batchStartNanos;

	private long sequence;

	private boolean opened;

	private boolean callInProgress;

	private long completedCalls;

	private long attempts;

	private boolean closed;

	ShardWriter(EventLoop loop, StateStore store, StoreHealth health, LongSupplier nanoClock, int shard, long epoch,
			Runnable onFenced) {
		this.loop = loop;
		this.store = store;
		this.health = health;
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
		this.inFlightWaiters = List.of(done);
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
		this.waiters.add(done);
		flush();
	}

	/**
	 * Repeats the call in progress without waiting for its outcome, because the store has
	 * become available again.
	 */
	void resend() {
		if (this.callInProgress) {
			send();
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
	 */
	void close() {
		this.closed = true;
		List<Consumer<Boolean>> abandoned = new ArrayList<>(this.inFlightWaiters);
		abandoned.addAll(this.waiters);
		this.inFlight = List.of();
		this.inFlightWaiters = List.of();
		this.waiters.clear();
		this.pending.clear();
		abandoned.forEach((waiter) -> waiter.accept(false));
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
		if (this.pending.isEmpty()) {
			this.waiters.clear();
		}
		send();
	}

	private void send() {
		if (this.closed) {
			return;
		}
		long call = this.completedCalls;
		long attempt = ++this.attempts;
		this.store.append(this.shard, currentEpoch(), this.sequence, this.inFlight).whenComplete((outcome, error) -> {
			if (this.closed || call != this.completedCalls) {
				return;
			}
			if (error == null) {
				handleOutcome(outcome);
			}
			else if (attempt == this.attempts) {
				scheduleRetry(error);
			}
		});
	}

	private void scheduleRetry(Throwable error) {
		logger.atWarn()
			.addKeyValue(LogFields.SHARD, this.shard)
			.addKeyValue(LogFields.EPOCH, currentEpoch())
			.addKeyValue(LogFields.REASON, error.getMessage())
			.log("append failed; retrying");
		long failed = this.attempts;
		this.loop.schedule(() -> {
			if (failed == this.attempts) {
				send();
			}
		}, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
	}

	private void handleOutcome(AppendOutcome outcome) {
		this.health.recordAnswer();
		if (outcome == AppendOutcome.STORED) {
			onStored();
			return;
		}
		logger.atWarn()
			.addKeyValue(LogFields.SHARD, this.shard)
			.addKeyValue(LogFields.EPOCH, this.epoch)
			.log("append rejected: another daemon has taken over the shard");
		this.onFenced.run();
	}

	private void onStored() {
		if (!this.inFlight.isEmpty()) {
			logIfDelayed();
		}
		this.sequence = this.opened ? this.sequence + 1 : 0;
		this.opened = true;
		this.completedCalls++;
		this.callInProgress = false;
		List<Consumer<Boolean>> completed = this.inFlightWaiters;
		this.inFlight = List.of();
		this.inFlightWaiters = List.of();
		completed.forEach((waiter) -> waiter.accept(true));
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

}

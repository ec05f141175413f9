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

/**
 * Appends of one shard in one epoch, one call at a time. Records that arrive during a
 * call ride in the next one; only the newest of a key is written. A call whose outcome is
 * unknown is repeated with the same number until the store answers.
 */
final class ShardWriter {

	private static final Logger logger = LoggerFactory.getLogger(ShardWriter.class);

	/** Pause before a failed append is repeated, in milliseconds. */
	private static final long RETRY_MS = 60;

	/**
	 * Records in one call; 256 turns of some KB stay below the store's size of a call.
	 */
	private static final int MAX_RECORDS = 256;

	/** Bytes in one call; half of the smallest limit that the platform names. */
	private static final int MAX_BYTES = 1024 * 1024;

	private final EventLoop loop;

	private final StateStore store;

	private final int shard;

	private final long epoch;

	private final Runnable fenced;

	private final Map<String, KeyedValue> pending = new LinkedHashMap<>();

	private final List<Consumer<Boolean>> waiters = new ArrayList<>();

	private long sequence;

	private boolean opened;

	private boolean busy;

	private boolean ended;

	ShardWriter(EventLoop loop, StateStore store, int shard, long epoch, Runnable fenced) {
		this.loop = loop;
		this.store = store;
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
		send(List.of(), List.of(done));
	}

	// The empty append that sets an epoch has an epoch of its own, because the page does
	// not
	// say whether it takes a sequence number.
	private long currentEpoch() {
		return this.opened ? this.epoch + 1 : this.epoch;
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
		this.waiters.add(done);
		flush();
	}

	boolean isIdle() {
		return !this.busy && this.pending.isEmpty();
	}

	/**
	 * Ends the writer. All waiters hear that their records may not be durable.
	 */
	void end() {
		this.ended = true;
		List<Consumer<Boolean>> lost = List.copyOf(this.waiters);
		this.waiters.clear();
		this.pending.clear();
		lost.forEach((waiter) -> waiter.accept(false));
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
		// Waiters are told only once nothing that they wait for is left.
		List<Consumer<Boolean>> told = this.pending.isEmpty() ? List.copyOf(this.waiters) : List.of();
		if (!told.isEmpty()) {
			this.waiters.clear();
		}
		send(batch, told);
	}

	private void send(List<KeyedValue> batch, List<Consumer<Boolean>> told) {
		if (this.ended) {
			told.forEach((waiter) -> waiter.accept(false));
			return;
		}
		this.store.append(this.shard, currentEpoch(), this.sequence, batch).whenComplete((outcome, error) -> {
			if (error != null) {
				logger.warn("append to shard {} failed and is repeated: {}", this.shard, error.getMessage());
				this.loop.schedule(() -> send(batch, told), RETRY_MS, TimeUnit.MILLISECONDS);
				return;
			}
			if (outcome == AppendOutcome.FENCED) {
				logger.warn("shard {} was taken from epoch {}", this.shard, this.epoch);
				end();
				told.forEach((waiter) -> waiter.accept(false));
				this.fenced.run();
				return;
			}
			this.sequence = this.opened ? this.sequence + 1 : 0;
			this.opened = true;
			this.busy = false;
			told.forEach((waiter) -> waiter.accept(true));
			flush();
		});
	}

}

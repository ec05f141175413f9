package org.hemlockgw.gateway.telemetry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.NewestPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;

/**
 * A store whose calls are measured.
 */
public final class MeasuredStore implements StateStore {

	private final StateStore store;

	private final Metrics metrics;

	private final LongSupplier nanoClock;

	public MeasuredStore(StateStore store, Metrics metrics, LongSupplier nanoClock) {
		this.store = store;
		this.metrics = metrics;
		this.nanoClock = nanoClock;
	}

	@Override
	public int shardCount() {
		return this.store.shardCount();
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		this.metrics.record("append_records", records.size());
		return measured("append", this.store.append(shard, epoch, sequence, records));
	}

	@Override
	public CompletableFuture<ShardAssignment> join(String member, long generation) {
		return measured("join", this.store.join(member, generation));
	}

	@Override
	public CompletableFuture<NewestPage> newest(int shard, String after) {
		return measured("newest", this.store.newest(shard, after));
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return measured("leave", this.store.leave(member));
	}

	@Override
	public CompletableFuture<ShardHolders> owners() {
		return measured("owners", this.store.owners());
	}

	private <T> CompletableFuture<T> measured(String call, CompletableFuture<T> result) {
		long begin = this.nanoClock.getAsLong();
		result.whenComplete((answer, error) -> {
			long ms = TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - begin);
			this.metrics.record((error != null) ? "store_failed_ms" : "store_" + call + "_ms", ms);
		});
		return result;
	}

}

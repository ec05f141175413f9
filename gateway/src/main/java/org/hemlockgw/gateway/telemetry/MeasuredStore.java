package org.hemlockgw.gateway.telemetry;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.ForwardingStore;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.StateStore;

/**
 * Store that records the duration and the outcome of each call as metrics.
 */
public final class MeasuredStore extends ForwardingStore {

	private final Metrics metrics;

	private final LongSupplier nanoClock;

	public MeasuredStore(StateStore store, Metrics metrics, LongSupplier nanoClock) {
		super(store);
		this.metrics = metrics;
		this.nanoClock = nanoClock;
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		this.metrics.record("append_records", records.size());
		return super.append(shard, epoch, sequence, records);
	}

	@Override
	protected <T> CompletableFuture<T> intercept(Call call, Supplier<CompletableFuture<T>> forward) {
		long startNanos = this.nanoClock.getAsLong();
		CompletableFuture<T> result = forward.get();
		result.whenComplete((value, error) -> {
			long durationMs = TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - startNanos);
			String name = (error != null) ? "failed" : call.name().toLowerCase(Locale.ROOT);
			this.metrics.record("store_" + name + "_ms", durationMs);
		});
		return result;
	}

}

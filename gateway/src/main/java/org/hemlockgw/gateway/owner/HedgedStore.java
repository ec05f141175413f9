package org.hemlockgw.gateway.owner;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.hemlockgw.core.store.AppendOutcome;
import org.hemlockgw.core.store.KeyedValue;
import org.hemlockgw.core.store.NewestPage;
import org.hemlockgw.core.store.ShardAssignment;
import org.hemlockgw.core.store.ShardHolders;
import org.hemlockgw.core.store.StateStore;

/**
 * A store that is asked again when an answer takes much longer than usual, since answers
 * can be lost. Appends carry a number, so the store does each of them once.
 */
public final class HedgedStore implements StateStore {

	/** Calls for one result; with a third of the answers lost, one result in 27 is. */
	private static final int MAX_CALLS = 3;

	/** Times the usual time of a call after which it is repeated. */
	private static final double PATIENCE = 4;

	/**
	 * Time in milliseconds before which no call is repeated. The store answers within 4
	 * ms; its slower answers must not be taken for lost ones.
	 */
	private static final long MIN_DELAY_MS = 30;

	/** Weight of a new sample in the average; smooths over about ten calls. */
	private static final double SAMPLE_WEIGHT = 0.1;

	private final EventLoop loop;

	private final StateStore store;

	private final LongSupplier nanoClock;

	private double usualMs;

	public HedgedStore(EventLoop loop, StateStore store, LongSupplier nanoClock) {
		this.loop = loop;
		this.store = store;
		this.nanoClock = nanoClock;
	}

	@Override
	public int shardCount() {
		return this.store.shardCount();
	}

	@Override
	public CompletableFuture<AppendOutcome> append(int shard, long epoch, long sequence, List<KeyedValue> records) {
		return hedged(() -> this.store.append(shard, epoch, sequence, records));
	}

	@Override
	public CompletableFuture<NewestPage> newest(int shard, String after) {
		return hedged(() -> this.store.newest(shard, after));
	}

	// A member whose joins are lost twice in a row would be taken for gone.
	@Override
	public CompletableFuture<ShardAssignment> join(String member, long generation) {
		return hedged(() -> this.store.join(member, generation));
	}

	// The holders are read several times a second anyway.
	@Override
	public CompletableFuture<ShardHolders> owners() {
		return this.store.owners();
	}

	@Override
	public CompletableFuture<Void> leave(String member) {
		return this.store.leave(member);
	}

	private <T> CompletableFuture<T> hedged(Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		// The first call alone tells when the store does not answer.
		measured(call).whenComplete((answer, error) -> {
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(answer);
			}
		});
		repeatLater(call, result, 1);
		return result;
	}

	private <T> void repeatLater(Supplier<CompletableFuture<T>> call, CompletableFuture<T> result, int calls) {
		if (calls == MAX_CALLS || result.isDone()) {
			return;
		}
		this.loop.schedule(() -> {
			if (!result.isDone()) {
				measured(call).thenAccept(result::complete);
				repeatLater(call, result, calls + 1);
			}
		}, delayMs() * calls, TimeUnit.MILLISECONDS);
	}

	private long delayMs() {
		return Math.max(MIN_DELAY_MS, Math.round(PATIENCE * this.usualMs));
	}

	private <T> CompletableFuture<T> measured(Supplier<CompletableFuture<T>> call) {
		long begin = this.nanoClock.getAsLong();
		CompletableFuture<T> answer = call.get();
		answer.thenRun(() -> {
			long ms = TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - begin);
			this.usualMs += SAMPLE_WEIGHT * (ms - this.usualMs);
		});
		return answer;
	}

}

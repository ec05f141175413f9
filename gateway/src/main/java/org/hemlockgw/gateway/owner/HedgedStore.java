package org.hemlockgw.gateway.owner;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.hemlockgw.core.store.ForwardingStore;
import org.hemlockgw.core.store.StateStore;

/**
 * A store that is asked again when an answer takes much longer than usual, since answers
 * can be lost. Appends carry a number, so the store does each of them once.
 */
public final class HedgedStore extends ForwardingStore {

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

	/**
	 * Calls that are repeated. The holders are read several times a second anyway; a
	 * member whose joins are lost twice in a row would be taken for gone.
	 */
	private static final Set<Call> HEDGED = EnumSet.of(Call.APPEND, Call.NEWEST, Call.JOIN);

	private final EventLoop loop;

	private final LongSupplier nanoClock;

	private double usualMs;

	public HedgedStore(EventLoop loop, StateStore store, LongSupplier nanoClock) {
		super(store);
		this.loop = loop;
		this.nanoClock = nanoClock;
	}

	@Override
	protected <T> CompletableFuture<T> intercept(Call call, Supplier<CompletableFuture<T>> forward) {
		return HEDGED.contains(call) ? hedged(forward) : forward.get();
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

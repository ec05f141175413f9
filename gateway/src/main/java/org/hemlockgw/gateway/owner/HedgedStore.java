package org.hemlockgw.gateway.owner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.hemlockgw.core.store.ForwardingStore;
import org.hemlockgw.core.store.StateStore;

/**
 * Store client that repeats a call (a hedged request) when the answer takes much longer
 * than usual, because answers can be lost. Appends carry a sequence number, so the store
 * applies each of them only once.
 */
public final class HedgedStore extends ForwardingStore {

	/**
	 * Maximum number of attempts of a call, including the first. If a third of the
	 * answers is lost, one call in 27 gets no answer.
	 */
	private static final int MAX_ATTEMPTS = 3;

	/** Delay before a call is repeated, as a multiple of the median response time. */
	private static final long REPEAT_DELAY_FACTOR = 4;

	/**
	 * Minimum delay in milliseconds before a call is repeated. The store answers within 4
	 * ms; slower answers must not be mistaken for lost ones.
	 */
	private static final long MIN_REPEAT_DELAY_MS = 30;

	/** Number of recent response times that the median is taken of. */
	private static final int SAMPLE_COUNT = 15;

	/**
	 * Calls that are repeated. Reads of the shard holders are not, because they occur
	 * several times a second anyway. Joins are, because the store would consider a member
	 * to have left after two lost joins in a row.
	 */
	private static final Set<Call> HEDGED_CALLS = EnumSet.of(Call.APPEND, Call.NEWEST, Call.JOIN);

	private final EventLoop loop;

	private final LongSupplier nanoClock;

	private final Deque<Long> responseTimesMs = new ArrayDeque<>();

	public HedgedStore(EventLoop loop, StateStore store, LongSupplier nanoClock) {
		super(store);
		this.loop = loop;
		this.nanoClock = nanoClock;
	}

	@Override
	protected <T> CompletableFuture<T> intercept(Call call, Supplier<CompletableFuture<T>> forward) {
		return HEDGED_CALLS.contains(call) ? callHedged(forward) : forward.get();
	}

	private <T> CompletableFuture<T> callHedged(Supplier<CompletableFuture<T>> call) {
		CompletableFuture<T> result = new CompletableFuture<>();
		// Only a failure of the first attempt fails the call; failures of repeated
		// attempts are ignored.
		callMeasured(call).whenComplete((answer, error) -> {
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(answer);
			}
		});
		scheduleRepeat(call, result, 1);
		return result;
	}

	private <T> void scheduleRepeat(Supplier<CompletableFuture<T>> call, CompletableFuture<T> result, int attempts) {
		if (attempts == MAX_ATTEMPTS || result.isDone()) {
			return;
		}
		this.loop.schedule(() -> {
			if (!result.isDone()) {
				callMeasured(call).thenAccept(result::complete);
				scheduleRepeat(call, result, attempts + 1);
			}
		}, repeatDelayMs() * attempts, TimeUnit.MILLISECONDS);
	}

	private long repeatDelayMs() {
		return Math.max(MIN_REPEAT_DELAY_MS, REPEAT_DELAY_FACTOR * medianMs());
	}

	private long medianMs() {
		List<Long> sorted = this.responseTimesMs.stream().sorted().toList();
		return sorted.isEmpty() ? 0 : sorted.get(sorted.size() / 2);
	}

	private <T> CompletableFuture<T> callMeasured(Supplier<CompletableFuture<T>> call) {
		long startNanos = this.nanoClock.getAsLong();
		CompletableFuture<T> answer = call.get();
		answer.thenRun(() -> {
			if (this.responseTimesMs.size() == SAMPLE_COUNT) {
				this.responseTimesMs.removeFirst();
			}
			this.responseTimesMs.addLast(TimeUnit.NANOSECONDS.toMillis(this.nanoClock.getAsLong() - startNanos));
		});
		return answer;
	}

}

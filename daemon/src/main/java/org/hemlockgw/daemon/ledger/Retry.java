package org.hemlockgw.daemon.ledger;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Timeouts and retries of log calls, timed by one executor.
 */
public final class Retry {

	private Retry() {
	}

	/**
	 * Bounds the time of a call, because a connection can go silent for good.
	 * @param <T> type of the result
	 * @param call the call
	 * @param limit the bound
	 * @param scheduler measures the time
	 * @return completes as the call does, or fails with {@code LOG_UNAVAILABLE} and
	 * verdict {@code MAY_HAVE_RUN}
	 */
	public static <T> CompletableFuture<T> within(CompletableFuture<T> call, Duration limit,
			ScheduledExecutorService scheduler) {
		CompletableFuture<T> bounded = new CompletableFuture<>();
		ScheduledFuture<?> timer = scheduler.schedule(
				() -> bounded.completeExceptionally(CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE,
						"no answer from the log within " + limit.toMillis() + " ms")),
				limit.toNanos(), TimeUnit.NANOSECONDS);
		call.whenComplete((value, thrown) -> {
			timer.cancel(false);
			if (thrown != null) {
				bounded.completeExceptionally(thrown);
			}
			else {
				bounded.complete(value);
			}
		});
		return bounded;
	}

	/**
	 * Repeats a call until it succeeds. Ends with a failure only when the executor is
	 * shut down.
	 * @param <T> type of the result
	 * @param call starts the call; must be harmless when repeated
	 * @param settings timeout and pauses
	 * @param scheduler measures the time
	 * @return the first success
	 */
	public static <T> CompletableFuture<T> untilSuccess(Supplier<CompletableFuture<T>> call, LedgerSettings settings,
			ScheduledExecutorService scheduler) {
		CompletableFuture<T> done = new CompletableFuture<>();
		attempt(call, settings, scheduler, done, 1);
		return done;
	}

	private static <T> void attempt(Supplier<CompletableFuture<T>> call, LedgerSettings settings,
			ScheduledExecutorService scheduler, CompletableFuture<T> done, int count) {
		within(call.get(), settings.appendTimeout(), scheduler).whenComplete((value, thrown) -> {
			if (thrown == null) {
				done.complete(value);
				return;
			}
			try {
				scheduler.schedule(() -> attempt(call, settings, scheduler, done, count + 1),
						settings.backoff(count).toNanos(), TimeUnit.NANOSECONDS);
			}
			catch (RejectedExecutionException ex) {
				done.completeExceptionally(thrown);
			}
		});
	}

}

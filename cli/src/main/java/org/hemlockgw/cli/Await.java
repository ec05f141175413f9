package org.hemlockgw.cli;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Waits for futures on the main thread.
 */
final class Await {

	private Await() {
	}

	/**
	 * Waits for a result.
	 * @param <T> type of the result
	 * @param future the future
	 * @param timeout how long to wait
	 * @return the result
	 * @throws CallFailure if the future fails or does not complete in time
	 */
	static <T> T result(CompletableFuture<T> future, Duration timeout) {
		try {
			return future.get(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (ExecutionException ex) {
			throw CallFailure.of(ex);
		}
		catch (TimeoutException ex) {
			throw CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE, "No response within " + timeout.toMillis() + " ms");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CallFailure.mayHaveRun(ErrorCode.CANCELLED, "Interrupted");
		}
	}

	static void pause(Duration duration) {
		try {
			Thread.sleep(duration.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw CallFailure.mayHaveRun(ErrorCode.CANCELLED, "Interrupted");
		}
	}

}

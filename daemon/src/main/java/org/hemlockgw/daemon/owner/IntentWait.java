package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Waits for records that must be durable before a call may be sent.
 */
final class IntentWait {

	/** Longest wait; longer than this counts as a log outage. */
	static final Duration LIMIT = Duration.ofSeconds(2);

	private IntentWait() {
	}

	// Completes on the executor when the records are durable, and fails with verdict
	// NOT_RUN when they are void, refused or late.
	static CompletableFuture<Void> durable(OwnerContext context, CompletableFuture<Void> append) {
		CompletableFuture<Void> wait = new CompletableFuture<>();
		append.whenCompleteAsync((done, error) -> {
			if (error == null) {
				wait.complete(null);
				return;
			}
			CallFailure cause = CallFailure.of(error);
			ErrorCode code = (cause.code() == ErrorCode.NOT_OWNER) ? ErrorCode.NOT_OWNER : ErrorCode.LOG_UNAVAILABLE;
			wait.completeExceptionally(
					CallFailure.notRun(code, "the record before the call was not written: " + cause.getMessage()));
		}, context.executor());
		if (!append.isDone()) {
			context.scheduler().schedule(() -> expire(context, wait), LIMIT.toNanos(), TimeUnit.NANOSECONDS);
		}
		return wait;
	}

	private static void expire(OwnerContext context, CompletableFuture<Void> wait) {
		if (wait.isDone()) {
			return;
		}
		context.executor()
			.execute(() -> wait.completeExceptionally(CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE,
					"the record before the call was not durable within " + LIMIT.toSeconds() + " s")));
	}

}

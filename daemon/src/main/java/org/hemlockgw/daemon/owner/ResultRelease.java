package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.program.CallResult;

/**
 * Releases results of calls once their records are durable. A result whose record is late
 * or was refused is withheld, because it would be lost with this daemon.
 */
final class ResultRelease {

	private ResultRelease() {
	}

	// Until the record is durable, the call remains open and may end at its deadline.
	static void whenDurable(OwnerContext context, CallQueue queue, ProgramCell cell, LiveCall call, CallResult result,
			CompletableFuture<Void> append) {
		append.whenCompleteAsync((done, error) -> {
			synchronized (cell.slot()) {
				if (error != null) {
					queue.closeLocked(cell, call, null, withheld(error));
					return;
				}
				queue.closeLocked(cell, call, result, null);
			}
		}, context.executor());
	}

	// Completes when the records of a repeated call are durable, and fails at the
	// deadline of the repeat.
	static CompletableFuture<Void> durableBefore(OwnerContext context, CompletableFuture<Void> append,
			Instant deadline) {
		CompletableFuture<Void> wait = new CompletableFuture<>();
		append.whenComplete((done, error) -> {
			if (error != null) {
				wait.completeExceptionally(withheld(error));
				return;
			}
			wait.complete(null);
		});
		if (!wait.isDone()) {
			context.after(Duration.between(context.now(), deadline), () -> wait.completeExceptionally(late()));
		}
		return wait;
	}

	static CallFailure late() {
		return CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE,
				"the call ran, but its record was not durable before the deadline");
	}

	private static CallFailure withheld(Throwable error) {
		CallFailure cause = CallFailure.of(error);
		if (cause.code() == ErrorCode.NOT_OWNER) {
			return CallFailure.mayHaveRun(ErrorCode.NOT_OWNER,
					"the shard was taken over before the record was durable");
		}
		return CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE,
				"the call ran, but its record was not written: " + cause.getMessage());
	}

}

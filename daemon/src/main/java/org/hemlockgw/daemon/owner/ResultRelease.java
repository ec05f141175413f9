package org.hemlockgw.daemon.owner;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.program.CallResult;

/**
 * Releases the result of a call when its record is durable or the log is unavailable.
 */
final class ResultRelease {

	private ResultRelease() {
	}

	static void whenDurable(OwnerContext context, CallQueue queue, ProgramCell cell, LiveCall call, CallResult result,
			CompletableFuture<Void> append) {
		context.durability().settled(append).whenCompleteAsync((durable, error) -> {
			synchronized (cell.slot()) {
				if (error != null) {
					queue.closeLocked(cell, call, null, CallFailure.of(error));
					return;
				}
				if (!durable) {
					context.count("results.not_durable");
					context.note(call, "not_durable", "the log is unavailable");
				}
				queue.closeLocked(cell, call, result.withDurable(durable), null);
			}
		}, context.executor());
	}

}

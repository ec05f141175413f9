package org.hemlockgw.daemon.owner;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.ledger.Ledger;

/**
 * Waits for records of opened and ended programs to be durable, but not during a log
 * outage. Results of calls wait in any case, see {@link ResultRelease}.
 */
final class Durability {

	private final Ledger ledger;

	private final Set<CompletableFuture<Void>> waiting = ConcurrentHashMap.newKeySet();

	Durability(Ledger ledger) {
		this.ledger = ledger;
	}

	// Waits for an append whose effect already took place. Completes when the records are
	// durable or the log is unavailable, and fails with NOT_OWNER when they are void.
	CompletableFuture<Void> settled(CompletableFuture<Void> append) {
		CompletableFuture<Void> settled = new CompletableFuture<>();
		this.waiting.add(settled);
		settled.whenComplete((done, error) -> this.waiting.remove(settled));
		append.whenComplete((done, error) -> {
			if (error != null && CallFailure.of(error).code() == ErrorCode.NOT_OWNER) {
				settled.completeExceptionally(CallFailure.mayHaveRun(ErrorCode.NOT_OWNER,
						"the shard was taken over before the record was durable"));
				return;
			}
			settled.complete(null);
		});
		return settled;
	}

	// Releases everything that waits when the log is unavailable. Called periodically.
	void poll() {
		if (!this.waiting.isEmpty() && this.ledger.isLogUnavailable()) {
			this.waiting.forEach((settled) -> settled.complete(null));
		}
	}

}

package org.hemlockgw.daemon.owner;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.ledger.Ledger;

/**
 * Waits for records to be durable, but not during a log outage.
 */
final class Durability {

	private final Ledger ledger;

	private final Set<CompletableFuture<Boolean>> waiting = ConcurrentHashMap.newKeySet();

	Durability(Ledger ledger) {
		this.ledger = ledger;
	}

	// Waits for an append whose effect already took place. The result is true when the
	// records are durable and false when the log is unavailable; it fails with NOT_OWNER
	// when the records are void.
	CompletableFuture<Boolean> settled(CompletableFuture<Void> append) {
		CompletableFuture<Boolean> settled = new CompletableFuture<>();
		this.waiting.add(settled);
		settled.whenComplete((durable, error) -> this.waiting.remove(settled));
		append.whenComplete((done, error) -> {
			if (error == null) {
				settled.complete(true);
			}
			else if (CallFailure.of(error).code() == ErrorCode.NOT_OWNER) {
				settled.completeExceptionally(CallFailure.mayHaveRun(ErrorCode.NOT_OWNER,
						"the shard was taken over before the record was durable"));
			}
			else {
				settled.complete(false);
			}
		});
		return settled;
	}

	// Releases everything that waits when the log is unavailable. Called periodically.
	void poll() {
		if (!this.waiting.isEmpty() && this.ledger.isLogUnavailable()) {
			this.waiting.forEach((settled) -> settled.complete(false));
		}
	}

}

package org.hemlockgw.daemon.owner;

import java.time.Instant;

import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.retry.CrashHistory;

/**
 * Quarantine of content that crashes engines.
 */
final class CrashGuard {

	private final OwnerContext context;

	private final String digest;

	CrashGuard(OwnerContext context, String digest) {
		this.context = context;
		this.digest = digest;
	}

	boolean quarantined() {
		Instant now = this.context.now();
		ControlRecord.Quarantine record = this.context.blackboard().control().get().quarantined().get(this.digest);
		return (record != null && now.isBefore(record.until()))
				|| this.context.suspects().isQuarantined(this.digest, now);
	}

	boolean suspect() {
		return this.context.suspects().isSuspect(this.digest, this.context.now());
	}

	// Deaths that other content caused don't count against this one.
	void processed() {
		this.context.suspects().recordSuccess(this.digest);
	}

	// Counts an engine death. Returns true when the content is quarantined because of it.
	boolean died(TurnAttempt attempt) {
		Instant now = this.context.now();
		if (!this.context.suspects().recordCrash(this.digest, attempt.engine(), attempt.startedAt(), now)) {
			return false;
		}
		String reason = "two engines died under this content, the last one was " + attempt.engine();
		this.context.control()
			.append(new ControlRecord.Quarantine(this.digest, reason, now.plus(CrashHistory.QUARANTINE_DURATION)));
		this.context.count("quarantined");
		return true;
	}

}

package org.hemlockgw.standins.log;

import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * Token bucket over all appends.
 */
final class AppendLimiter {

	/** A burst may take a tenth of a second's appends at once. */
	private static final double BURST_SECONDS = 0.1;

	private double tokens;

	private @Nullable Instant last;

	synchronized boolean tryAppend(Instant now, long appendsPerS) {
		if (appendsPerS <= 0) {
			return true;
		}
		double capacity = Math.max(1, appendsPerS * BURST_SECONDS);
		double elapsedSeconds = (this.last != null) ? (now.toEpochMilli() - this.last.toEpochMilli()) / 1000.0
				: BURST_SECONDS + 1;
		this.tokens = Math.min(capacity, this.tokens + Math.max(0, elapsedSeconds) * appendsPerS);
		this.last = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}

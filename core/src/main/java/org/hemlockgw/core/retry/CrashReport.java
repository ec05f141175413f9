package org.hemlockgw.core.retry;

import java.time.Duration;
import java.time.Instant;

/**
 * Report that an engine crashed while it processed a request.
 *
 * @param digest digest of the content of the request
 * @param engine name of the engine
 * @param startedAtMs start of the engine's process in milliseconds since the epoch; 0 if
 * unknown
 * @param time time of the crash by the clock of the daemon that observed it
 */
public record CrashReport(String digest, String engine, long startedAtMs, Instant time) {

	/**
	 * Shorter than the time in which an engine restarts, and longer than the time between
	 * the reports of two daemons about one crash.
	 */
	private static final Duration SAME_CRASH_INTERVAL = Duration.ofSeconds(2);

	/**
	 * Returns whether two reports are about the same crash. Daemons that had sent the
	 * same content to an engine all report its crash.
	 * @param other the other report
	 * @return whether the same process of an engine crashed under the same content
	 */
	boolean isSameCrash(CrashReport other) {
		if (equals(other)) {
			return true;
		}
		return this.startedAtMs > 0 && this.startedAtMs == other.startedAtMs && this.engine.equals(other.engine)
				&& this.digest.equals(other.digest)
				&& Duration.between(this.time, other.time).abs().compareTo(SAME_CRASH_INTERVAL) < 0;
	}

	/**
	 * Returns the time after which the crash is no longer counted.
	 * @return the time
	 */
	public Instant expiry() {
		return this.time.plus(CrashHistory.QUARANTINE_DURATION);
	}

}

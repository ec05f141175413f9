package org.hemlockgw.core.retry;

import java.time.Instant;

/**
 * Report that an engine crashed while it processed a request. Equal reports are about the
 * same crash.
 *
 * @param digest digest of the content of the request
 * @param engine name of the engine
 * @param time time of the crash by the clock of the daemon that observed it
 */
public record CrashReport(String digest, String engine, Instant time) {

	/**
	 * Returns the time after which the crash is no longer counted.
	 * @return the time
	 */
	public Instant expiry() {
		return this.time.plus(CrashHistory.QUARANTINE_DURATION);
	}

}

package org.hemlockgw.remote;

import java.time.Instant;
import java.time.InstantSource;

/**
 * Clock that a test moves.
 */
final class MutableClock implements InstantSource {

	private volatile Instant now = Instant.parse("2026-01-01T00:00:00Z");

	@Override
	public Instant instant() {
		return this.now;
	}

	void advanceMillis(long millis) {
		this.now = this.now.plusMillis(millis);
	}

}

package org.hemlockgw.daemon.routing;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter, for one request.
 */
final class Backoff {

	private static final long MIN_MS = 10;

	private final long maxMs;

	private long nextMs = MIN_MS;

	Backoff(Duration max) {
		this.maxMs = max.toMillis();
	}

	/**
	 * Returns the time to wait before the next attempt.
	 * @return from half the current step to the whole step, in milliseconds
	 */
	long nextMs() {
		long step = this.nextMs;
		this.nextMs = Math.min(this.maxMs, step * 2);
		return ThreadLocalRandom.current().nextLong(step / 2, step + 1);
	}

}

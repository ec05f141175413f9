package org.hemlockgw.systemtest;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/**
 * Waits for a condition up to a bound.
 */
final class Await {

	private static final Duration POLL = Duration.ofMillis(20);

	private Await() {
	}

	/**
	 * Waits for a condition.
	 * @param what names the condition in the error
	 * @param bound longest wait
	 * @param condition the condition; an exception counts as false
	 * @return how long it took
	 */
	static Duration until(String what, Duration bound, Callable<Boolean> condition) {
		Instant start = Instant.now();
		while (true) {
			if (holds(condition)) {
				return Duration.between(start, Instant.now());
			}
			if (Duration.between(start, Instant.now()).compareTo(bound) > 0) {
				throw new AssertionError(what + " did not hold within " + bound);
			}
			LockSupport.parkNanos(POLL.toNanos());
		}
	}

	private static boolean holds(Callable<Boolean> condition) {
		try {
			return condition.call();
		}
		catch (Exception ex) {
			return false;
		}
	}

}

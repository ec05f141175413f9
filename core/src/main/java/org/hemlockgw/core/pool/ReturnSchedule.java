package org.hemlockgw.core.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.hemlockgw.core.common.StableHash;

/**
 * Times at which refused programs may return: for each account in the order of their
 * refusal, spread at the rate at which its programs can begin. Not thread-safe.
 */
final class ReturnSchedule {

	/**
	 * Part of the time left to a caller that it may be told to wait; callers do not
	 * return after a longer time.
	 */
	private static final int REMAINING_TIME_DIVISOR = 3;

	/** Shortest limit in milliseconds; sooner returns only repeat the load. */
	private static final long MIN_LIMIT_MS = 100;

	/**
	 * Time in milliseconds after which a program that did not return loses its place:
	 * network latency and the caller's own timer.
	 */
	private static final long GRACE_MS = 100;

	private static final long NANOS_PER_MS = 1_000_000;

	// Places that are still ahead, by program, in the order of the refusals.
	private final Map<String, Place> places = new LinkedHashMap<>();

	private final Map<String, Long> lastReturnNanos = new HashMap<>();

	/**
	 * Assigns the time after which a refused program may return.
	 * @param request first request of the program
	 * @param intervalMs time between two programs of the account that can begin
	 * @param nowNanos current time
	 * @return time in milliseconds
	 */
	long retryAfterMs(SlotRequest request, double intervalMs, long nowNanos) {
		long remainingMs = Math.min(request.remainingMs(), Math.max(0, request.programRemainingMs()));
		long limitMs = Math.max(MIN_LIMIT_MS, remainingMs / REMAINING_TIME_DIVISOR);
		String account = request.account();
		long last = Math.max(nowNanos, this.lastReturnNanos.getOrDefault(account, nowNanos));
		long at = last + Math.round(intervalMs * NANOS_PER_MS);
		long delayMs = Math.max(1, (at - nowNanos) / NANOS_PER_MS);
		if (delayMs > limitMs) {
			// Programs without a place would otherwise all return at the same moment.
			long spreadMs = Math.floorMod(StableHash.of(request.id()), limitMs / 2 + 1);
			return Math.max(MIN_LIMIT_MS, limitMs - spreadMs);
		}
		this.lastReturnNanos.put(account, at);
		if (!request.program().isEmpty()) {
			this.places.put(key(request), new Place(account, request.priority(), at));
		}
		return delayMs;
	}

	/**
	 * Removes the place of a program that has returned.
	 * @param request first request of the program
	 */
	void remove(SlotRequest request) {
		this.places.remove(key(request));
	}

	/**
	 * Removes places whose time has passed.
	 * @param nowNanos current time
	 */
	void expire(long nowNanos) {
		this.places.values().removeIf((place) -> nowNanos - place.atNanos > GRACE_MS * NANOS_PER_MS);
		Iterator<Long> times = this.lastReturnNanos.values().iterator();
		while (times.hasNext()) {
			if (times.next() - nowNanos < 0) {
				times.remove();
			}
		}
	}

	/**
	 * Returns the number of programs of an account that are still to return.
	 * @param account name of the account
	 * @param priority lowest priority that is counted
	 * @return number of programs
	 */
	int count(String account, int priority) {
		int count = 0;
		for (Place place : this.places.values()) {
			count += (place.account.equals(account) && place.priority <= priority) ? 1 : 0;
		}
		return count;
	}

	private static String key(SlotRequest request) {
		return request.account() + '\n' + request.program();
	}

	private record Place(String account, int priority, long atNanos) {
	}

}

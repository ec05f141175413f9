package org.hemlockgw.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Server of a session and the servers that it has left recently. Not thread-safe.
 */
final class SessionPlacement {

	/**
	 * Time in nanoseconds in which a session returns to a former server at most once, so
	 * that it doesn't alternate between two servers.
	 */
	static final long RETURN_INTERVAL_NANOS = 5_000_000_000L;

	/** Maximum number of former servers that are remembered. */
	private static final int MAX_FORMER = 8;

	private final Deque<Departure> former = new ArrayDeque<>(2);

	private String server;

	private long returnedNanos = Long.MIN_VALUE / 2;

	SessionPlacement(String server) {
		this.server = server;
	}

	String server() {
		return this.server;
	}

	/**
	 * Returns whether the session must not be placed at a server because it has left that
	 * server, and returned to another one, a short time ago.
	 * @param candidate identifier of the server
	 * @param nowNanos current time
	 * @return whether this would be the second return within the interval
	 */
	boolean isReturnTooEarly(String candidate, long nowNanos) {
		return !this.server.equals(candidate) && nowNanos - this.returnedNanos < RETURN_INTERVAL_NANOS
				&& hasLeft(candidate, nowNanos);
	}

	private boolean hasLeft(String candidate, long nowNanos) {
		for (Departure departure : this.former) {
			if (departure.server().equals(candidate) && nowNanos - departure.atNanos() < RETURN_INTERVAL_NANOS) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Moves the session.
	 * @param next identifier of its new server
	 * @param nowNanos current time
	 */
	void moveTo(String next, long nowNanos) {
		if (hasLeft(next, nowNanos)) {
			this.returnedNanos = nowNanos;
		}
		Iterator<Departure> iterator = this.former.iterator();
		while (iterator.hasNext()) {
			Departure departure = iterator.next();
			if (departure.server().equals(next) || nowNanos - departure.atNanos() >= RETURN_INTERVAL_NANOS) {
				iterator.remove();
			}
		}
		if (this.former.size() == MAX_FORMER) {
			this.former.removeFirst();
		}
		this.former.addLast(new Departure(this.server, nowNanos));
		this.server = next;
	}

	private record Departure(String server, long atNanos) {
	}

}

package org.hemlockgw.gateway.entry;

import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * State of the graceful shutdown of this daemon. All methods must be called on the event
 * loop.
 */
public final class Shutdown {

	private final LongSupplier nanoClock;

	private @Nullable Deadline newCallersLimit;

	private @Nullable Deadline limit;

	/**
	 * Creates the state of a daemon that is not shutting down.
	 * @param nanoClock monotonic clock in nanoseconds with an arbitrary origin
	 */
	public Shutdown(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	/**
	 * Begins the shutdown.
	 * @param newCallersMs time in milliseconds for which callers are still accepted
	 * @param limitMs time in milliseconds after which open requests are ended
	 */
	public void begin(long newCallersMs, long limitMs) {
		this.newCallersLimit = new Deadline(this.nanoClock, newCallersMs);
		this.limit = new Deadline(this.nanoClock, limitMs);
	}

	/**
	 * Returns whether the shutdown has begun.
	 * @return whether it has begun
	 */
	public boolean isActive() {
		return this.limit != null;
	}

	/**
	 * Returns whether a request that has arrived now would have to be ended without its
	 * response if it took all the time that it has. As long as the balancer sends new
	 * callers, requests are taken nevertheless, because most take much less.
	 * @param deadline deadline of the request
	 * @return whether the request must be refused
	 */
	boolean isTooLateFor(Deadline deadline) {
		return this.newCallersLimit != null && this.limit != null && this.newCallersLimit.remainingMs() <= 0
				&& deadline.remainingMs() > this.limit.remainingMs();
	}

}

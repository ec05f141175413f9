package org.hemlockgw.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Lets one control append out at a time and the next only after the earlier one was read
 * back, or failed. Guarded by the controller's lock.
 */
final class Gate {

	private boolean inFlight;

	private long awaited = -1;

	private final Object lock;

	Gate(Object lock) {
		this.lock = lock;
	}

	/**
	 * Appends if nothing is awaited.
	 * @param offset next offset to read of the control stream
	 * @param append starts the append
	 * @return whether it was started
	 */
	boolean tryAppend(long offset, Supplier<CompletableFuture<Long>> append) {
		if (this.inFlight || offset <= this.awaited) {
			return false;
		}
		this.inFlight = true;
		append.get().whenComplete((position, thrown) -> {
			synchronized (this.lock) {
				this.inFlight = false;
				if (thrown == null) {
					this.awaited = position;
				}
			}
		});
		return true;
	}

}

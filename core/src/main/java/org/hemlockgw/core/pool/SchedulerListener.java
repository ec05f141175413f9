package org.hemlockgw.core.pool;

/**
 * Receives measurements of a pool's scheduler.
 */
public interface SchedulerListener {

	/** Listener that ignores all measurements. */
	SchedulerListener NONE = new SchedulerListener() {
		@Override
		public void granted(int priority, long waitMs) {
		}

		@Override
		public void refused(RefusalReason reason) {
		}
	};

	/**
	 * Receives the wait of a granted request.
	 * @param priority priority of the request
	 * @param waitMs time in the queue in milliseconds
	 */
	void granted(int priority, long waitMs);

	/**
	 * Receives a refusal.
	 * @param reason the reason
	 */
	void refused(RefusalReason reason);

}

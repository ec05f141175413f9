package org.hemlockgw.core.pool;

/**
 * Action at a point of virtual time. Actions at the same time run in the order in which
 * they were scheduled.
 *
 * @param atMs time in milliseconds
 * @param sequence number of the action
 * @param action the action
 */
record ScheduledAction(long atMs, long sequence, Runnable action) implements Comparable<ScheduledAction> {

	@Override
	public int compareTo(ScheduledAction other) {
		int order = Long.compare(this.atMs, other.atMs);
		return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
	}

}

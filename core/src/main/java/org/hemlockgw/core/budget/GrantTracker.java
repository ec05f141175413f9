package org.hemlockgw.core.budget;

import java.util.TreeMap;

/**
 * Computes how much a program may spend while changes of its grant are on their way to
 * the ledger: no more than the last durable grant and than any pending one, because a
 * successor may see the ledger cut off after any of them. Not thread-safe.
 */
public final class GrantTracker {

	private final TreeMap<Long, Long> pending = new TreeMap<>();

	private long durable;

	private long sequence;

	public GrantTracker(long durable) {
		this.durable = durable;
	}

	/**
	 * Notes that a grant was given to the ledger.
	 * @param granted the cumulative grant
	 * @return its number, for {@link #markDurable}
	 */
	public long addPending(long granted) {
		this.pending.put(++this.sequence, granted);
		return this.sequence;
	}

	/**
	 * Notes that a grant is durable, and with it all earlier ones.
	 * @param number the grant's number
	 */
	public void markDurable(long number) {
		Long granted = this.pending.get(number);
		if (granted != null) {
			this.durable = granted;
			this.pending.headMap(number, true).clear();
		}
	}

	public boolean covers(long committed) {
		return committed <= this.durable && this.pending.values().stream().allMatch((granted) -> committed <= granted);
	}

}

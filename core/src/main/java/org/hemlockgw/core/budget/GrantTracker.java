package org.hemlockgw.core.budget;

import java.util.TreeMap;

/**
 * Tracks how much a program may spend while changes of its grant are being written to the
 * ledger. Spending is limited to the last durable grant and to every pending grant,
 * because a new owner may read a ledger that ends after any of them. Not thread-safe.
 */
public final class GrantTracker {

	private final TreeMap<Long, Long> pendingGrants = new TreeMap<>();

	private long durableGrant;

	private long lastNumber;

	/**
	 * Creates a tracker without pending grants.
	 * @param durableGrant the cumulative grant that is durable in the ledger
	 */
	public GrantTracker(long durableGrant) {
		this.durableGrant = durableGrant;
	}

	/**
	 * Records that a grant is being written to the ledger.
	 * @param granted the cumulative grant
	 * @return number of the grant, to be passed to {@link #markDurable}
	 */
	public long addPending(long granted) {
		this.pendingGrants.put(++this.lastNumber, granted);
		return this.lastNumber;
	}

	/**
	 * Records that a grant and all earlier ones are durable.
	 * @param number number of the grant
	 */
	public void markDurable(long number) {
		Long granted = this.pendingGrants.get(number);
		if (granted != null) {
			this.durableGrant = granted;
			this.pendingGrants.headMap(number, true).clear();
		}
	}

	/**
	 * Returns whether spending is covered by the durable grant and all pending grants.
	 * @param committed settled and reserved tokens
	 * @return whether the tokens are covered
	 */
	public boolean covers(long committed) {
		return committed <= this.durableGrant
				&& this.pendingGrants.values().stream().allMatch((granted) -> committed <= granted);
	}

}

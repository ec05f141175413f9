package org.hemlockgw.core.pool;

import java.util.function.Function;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Search at one event for queued requests that fit into a server. Not thread-safe.
 */
final class CandidateSearch implements Predicate<QueuedRequest> {

	/**
	 * Number of requests without a server after which the search ends. Each costs time
	 * linear in the number of servers, and in a pool limited by memory no request fits.
	 */
	private static final int MAX_MISSES = 16;

	private final Function<SlotRequest, @Nullable PoolServer> selection;

	private final MemoryReservation reservation;

	private int misses;

	private @Nullable PoolServer selected;

	private @Nullable QueuedRequest selectedFor;

	CandidateSearch(Function<SlotRequest, @Nullable PoolServer> selection, MemoryReservation reservation) {
		this.selection = selection;
		this.reservation = reservation;
	}

	@Override
	public boolean test(QueuedRequest candidate) {
		if (this.misses >= MAX_MISSES) {
			return false;
		}
		PoolServer server = this.selection.apply(candidate.request());
		if (server == null) {
			this.misses++;
			this.reservation.recordPassed(candidate.request());
			return false;
		}
		this.selected = server;
		this.selectedFor = candidate;
		return true;
	}

	/**
	 * Returns the server of a request for which the search succeeded.
	 * @param entry the request
	 * @return the server
	 */
	@Nullable PoolServer serverOf(QueuedRequest entry) {
		return (entry == this.selectedFor) ? this.selected : this.selection.apply(entry.request());
	}

}

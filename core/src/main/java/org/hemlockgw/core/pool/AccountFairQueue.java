package org.hemlockgw.core.pool;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Shares slots between client accounts by start-time fair queueing, for the load in which
 * one account sends far more than the others. Within an account the program with the
 * least slack is first, then the request that arrived first. Not thread-safe.
 */
final class AccountFairQueue {

	private final Map<String, Backlog> byAccount = new HashMap<>();

	// Finish tags of accounts without backlog; cleared when no account has a backlog.
	private final Map<String, Double> finishTags = new HashMap<>();

	private final TreeSet<Backlog> order = new TreeSet<>(
			Comparator.comparingDouble((Backlog backlog) -> backlog.startTag)
				.thenComparing((backlog) -> backlog.account));

	private double virtualTime;

	private int size;

	void add(QueuedRequest entry) {
		String account = entry.request().account();
		Backlog backlog = this.byAccount.get(account);
		if (backlog == null) {
			// An account without backlog gets no credit for the time that it was idle.
			Double finishTag = this.finishTags.remove(account);
			double startTag = Math.max(this.virtualTime, (finishTag != null) ? finishTag : 0);
			backlog = new Backlog(account, startTag);
			this.byAccount.put(account, backlog);
			this.order.add(backlog);
		}
		backlog.entries.add(entry);
		this.size++;
	}

	/**
	 * Returns the first eligible request without removing it.
	 * @param eligible whether a request can be served
	 * @return the request, or null if there is none
	 */
	@Nullable QueuedRequest first(Predicate<QueuedRequest> eligible) {
		for (Backlog backlog : this.order) {
			for (QueuedRequest entry : backlog.entries) {
				if (eligible.test(entry)) {
					return entry;
				}
			}
		}
		return null;
	}

	/**
	 * Removes a request.
	 * @param entry the request
	 * @param served whether its cost is charged to the account
	 */
	void remove(QueuedRequest entry, boolean served) {
		Backlog backlog = this.byAccount.get(entry.request().account());
		if (backlog == null || !backlog.entries.remove(entry)) {
			return;
		}
		this.size--;
		this.order.remove(backlog);
		if (served) {
			this.virtualTime = Math.max(this.virtualTime, backlog.startTag);
			backlog.startTag += entry.costMs();
		}
		if (!backlog.entries.isEmpty()) {
			this.order.add(backlog);
			return;
		}
		this.byAccount.remove(backlog.account);
		this.finishTags.put(backlog.account, backlog.startTag);
		if (this.byAccount.isEmpty()) {
			this.finishTags.clear();
			this.virtualTime = 0;
		}
	}

	/**
	 * Estimates how many requests are served before a new one: those of its account with
	 * less slack, and as many of each other account.
	 * @param entry the new request
	 * @return number of requests
	 */
	int countAhead(QueuedRequest entry) {
		Backlog own = this.byAccount.get(entry.request().account());
		int ownAhead = (own != null) ? own.entries.headSet(entry).size() : 0;
		int ahead = ownAhead;
		for (Backlog other : this.order) {
			ahead += (other == own) ? 0 : Math.min(other.entries.size(), ownAhead + 1);
		}
		return ahead;
	}

	/**
	 * Passes each request with the estimated number of requests of this queue that are
	 * served before it.
	 * @param visitor receives a request and that number
	 */
	void forEach(ObjIntConsumer<QueuedRequest> visitor) {
		for (Backlog backlog : this.order) {
			int position = 0;
			for (QueuedRequest entry : backlog.entries) {
				position += this.order.size();
				visitor.accept(entry, Math.min(position, this.size) - 1);
			}
		}
	}

	/**
	 * Returns how much less time in slots the account served least has received than the
	 * one served most, among those with a backlog.
	 * @return time in milliseconds
	 */
	double lagMs() {
		return this.order.isEmpty() ? 0 : this.order.last().startTag - this.order.first().startTag;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	int size() {
		return this.size;
	}

	private static final class Backlog {

		private final String account;

		private final TreeSet<QueuedRequest> entries = new TreeSet<>(
				Comparator.comparingLong(QueuedRequest::slackEndNanos).thenComparingLong(QueuedRequest::sequence));

		private double startTag;

		Backlog(String account, double startTag) {
			this.account = account;
			this.startTag = startTag;
		}

	}

}

package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Queues the slot requests of one pool and selects a server for each. Servers process
 * requests in order of arrival, so a server is sent at most as many requests as it has
 * slots. All others wait in this queue, where they can be ordered by priority. Not
 * thread-safe.
 */
public final class PoolScheduler {

	/** Weight of a new sample in the moving averages; smooths over about 10 requests. */
	private static final double SAMPLE_WEIGHT = 0.1;

	/**
	 * Request duration assumed before the first response, in milliseconds. It corresponds
	 * to a short model turn.
	 */
	private static final double INITIAL_DURATION_MS = 100;

	/**
	 * Time after the caller's deadline at which an unreleased grant expires, in
	 * milliseconds.
	 */
	private static final long GRANT_TIMEOUT_MARGIN_MS = 1000;

	/** Time during which a server is avoided after a failed request, in milliseconds. */
	private static final long FAILURE_COOLDOWN_MS = 1000;

	/**
	 * Longest time that the first request of a program waits for a slot, as a fraction of
	 * its objective.
	 */
	private static final double NEW_PROGRAM_WAIT_FRACTION = 0.25;

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private final PoolServers servers = new PoolServers();

	private final Map<String, Grant> grants = new HashMap<>();

	private final TreeSet<QueueEntry> queue = new TreeSet<>(
			Comparator.comparing((QueueEntry entry) -> !entry.request.programStarted())
				.thenComparing((entry) -> entry.request.programRemainingMs() < 0)
				.thenComparingInt((entry) -> entry.request.priority())
				.thenComparingLong((entry) -> entry.sequence));

	private final Map<String, QueueEntry> entriesById = new HashMap<>();

	private final WaitBasedAdmission admission;

	private double averageDurationMs = INITIAL_DURATION_MS;

	private long sequence;

	/**
	 * Creates a scheduler without servers.
	 * @param nanoClock monotonic clock in nanoseconds
	 */
	public PoolScheduler(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.admission = new WaitBasedAdmission(nanoClock);
	}

	/**
	 * Replaces the list of servers. A server that is missing from the list or draining
	 * receives no new requests.
	 * @param members servers of this pool
	 */
	public void updateServers(List<PoolMember> members) {
		this.servers.update(members);
		grantQueuedRequests();
	}

	/**
	 * Requests a slot.
	 * @param request the request
	 * @param answer callback for the decision, possibly invoked before this method
	 * returns
	 */
	public void submit(SlotRequest request, Consumer<SlotDecision> answer) {
		long now = this.nanoClock.getAsLong();
		QueueEntry entry = new QueueEntry(request, answer, now, ++this.sequence);
		if (isNewProgram(request) && !this.servers.hasSpareSlots() && !this.admission.isOpen(this.averageDurationMs)) {
			answer.accept(
					SlotDecision.refused(this.admission.retryAfterMs(request.id()), "started programs wait for slots, "
							+ this.queue.size() + " waiting and " + this.grants.size() + " in flight"));
			return;
		}
		PoolServer server = this.queue.isEmpty() ? select(request) : null;
		if (server != null) {
			grant(server, entry);
			return;
		}
		if (!this.servers.hasAvailable(Set.of())) {
			answer.accept(SlotDecision.refused(FAILURE_COOLDOWN_MS, "no server"));
			return;
		}
		if (!this.servers.hasAvailable(request.excluded())) {
			answer.accept(SlotDecision.refused(Math.round(this.averageDurationMs), "no server is left to try"));
			return;
		}
		long waitMs = expectedWaitMs(entry);
		if (waitMs > maxWaitMs(request)) {
			answer.accept(SlotDecision.refused(waitMs, "expected wait of " + waitMs + " ms with " + this.queue.size()
					+ " waiting and " + this.grants.size() + " in flight"));
			return;
		}
		this.queue.add(entry);
		this.entriesById.put(request.id(), entry);
		grantQueuedRequests();
	}

	// Only turns of programs have a prompt.
	private static boolean isNewProgram(SlotRequest request) {
		return !request.programStarted() && !request.prompt().isEmpty();
	}

	// A program that has already started is to be completed, so its requests may wait
	// until their deadline. A new program is refused early, while its caller still has
	// time to return within the objective.
	private static long maxWaitMs(SlotRequest request) {
		if (request.programStarted()) {
			return request.remainingMs();
		}
		long objectiveMs = isNewProgram(request) ? Math.round(NEW_PROGRAM_WAIT_FRACTION * request.objectiveMs())
				: request.objectiveMs();
		return Math.min(objectiveMs, request.remainingMs());
	}

	private long expectedWaitMs(QueueEntry entry) {
		long slots = this.servers.slotCount();
		int requestsAhead = this.queue.headSet(entry).size();
		return (slots == 0) ? Long.MAX_VALUE : Math.round((requestsAhead + 1) * this.averageDurationMs / slots);
	}

	/**
	 * Removes a queued request. Has no effect if the request is not queued.
	 * @param id identifier of the request
	 */
	public void cancel(String id) {
		QueueEntry entry = this.entriesById.remove(id);
		if (entry != null) {
			this.queue.remove(entry);
		}
	}

	/**
	 * Releases a slot and updates the duration estimates.
	 * @param id identifier of the request that held the slot
	 * @param units size of the response: the number of events of a stream, 1 for a plain
	 * response, 0 to leave the estimates unchanged
	 * @param failed whether the server failed the request
	 */
	public void release(String id, int units, boolean failed) {
		release(id, new ResponseTiming(units, 0, 0), failed);
	}

	/**
	 * Releases a slot and updates the estimates.
	 * @param id identifier of the request that held the slot
	 * @param timing size and timing of the response
	 * @param failed whether the server failed the request
	 */
	public void release(String id, ResponseTiming timing, boolean failed) {
		Grant grant = this.grants.remove(id);
		if (grant == null) {
			return;
		}
		long now = this.nanoClock.getAsLong();
		PoolServer server = grant.server;
		double durationMs = (now - grant.grantedAtNanos) / (double) NANOS_PER_MS;
		this.servers.release(server, grant.request, grant.warm, failed ? ResponseTiming.NONE : timing, durationMs, now);
		if (failed) {
			server.avoidUntil(now + FAILURE_COOLDOWN_MS * NANOS_PER_MS);
		}
		else if (timing.units() > 0) {
			this.averageDurationMs += SAMPLE_WEIGHT * (durationMs - this.averageDurationMs);
		}
		grantQueuedRequests();
	}

	/**
	 * Records a slot that an earlier scheduler of this pool granted.
	 * @param request the request that holds the slot
	 * @param serverId identifier of the server
	 */
	public void restoreGrant(SlotRequest request, String serverId) {
		PoolServer server = this.servers.find(serverId);
		if (server != null && !this.grants.containsKey(request.id())) {
			long now = this.nanoClock.getAsLong();
			boolean warm = this.servers.occupy(server, request, now);
			this.grants.put(request.id(), new Grant(server, request, now, warm));
		}
	}

	/**
	 * Releases all slots and cancels all queued requests of a daemon that has failed.
	 * @param holder name of the daemon
	 */
	public void releaseAll(String holder) {
		List<String> requestIds = new ArrayList<>();
		this.grants.forEach((id, grant) -> {
			if (grant.request.holder().equals(holder)) {
				requestIds.add(id);
			}
		});
		requestIds.forEach((id) -> release(id, 0, false));
		this.entriesById.values()
			.stream()
			.filter((entry) -> entry.request.holder().equals(holder))
			.map((entry) -> entry.request.id())
			.toList()
			.forEach(this::cancel);
	}

	/**
	 * Refuses requests that have exceeded their maximum waiting time and removes grants
	 * that were not released in time.
	 */
	public void expireOverdue() {
		long now = this.nanoClock.getAsLong();
		Iterator<Grant> iterator = this.grants.values().iterator();
		while (iterator.hasNext()) {
			Grant grant = iterator.next();
			if (now - grant.grantedAtNanos > (grant.request.remainingMs() + GRANT_TIMEOUT_MARGIN_MS) * NANOS_PER_MS) {
				grant.server.release(grant.request.id());
				iterator.remove();
			}
		}
		grantQueuedRequests();
	}

	/**
	 * Sets the memory of each server.
	 * @param tokens number of tokens; 0 if unknown
	 */
	public void setMemoryTokens(int tokens) {
		this.servers.setMemoryTokens(tokens);
	}

	public PlacementStatistics placementStatistics() {
		return this.servers.statistics();
	}

	/**
	 * Returns the highest number of recent requests of a server relative to its share.
	 * @return 1 if all servers receive what their weights justify
	 */
	public double highestExcess() {
		return this.servers.highestExcess();
	}

	public int inFlight() {
		return this.grants.size();
	}

	public int queued() {
		return this.queue.size();
	}

	private void refuseOverdue() {
		long now = this.nanoClock.getAsLong();
		List<QueueEntry> overdue = new ArrayList<>();
		for (QueueEntry entry : this.queue) {
			long waitedMs = (now - entry.enqueuedAtNanos) / NANOS_PER_MS;
			if (waitedMs >= maxWaitMs(entry.request)) {
				overdue.add(entry);
			}
		}
		for (QueueEntry entry : overdue) {
			cancel(entry.request.id());
			entry.answer.accept(SlotDecision.refused(Math.round(this.averageDurationMs), "waited too long for a slot"));
		}
	}

	private @Nullable PoolServer select(SlotRequest request) {
		return this.servers.select(request, this.averageDurationMs, this.nanoClock.getAsLong());
	}

	private void grantQueuedRequests() {
		refuseOverdue();
		Iterator<QueueEntry> iterator = List.copyOf(this.queue).iterator();
		while (iterator.hasNext() && this.servers.hasFreeSlot()) {
			QueueEntry entry = iterator.next();
			PoolServer server = select(entry.request);
			if (server != null) {
				cancel(entry.request.id());
				grant(server, entry);
			}
		}
	}

	private void grant(PoolServer server, QueueEntry entry) {
		if (entry.request.programStarted()) {
			this.admission.recordWait((this.nanoClock.getAsLong() - entry.enqueuedAtNanos) / (double) NANOS_PER_MS);
		}
		long now = this.nanoClock.getAsLong();
		boolean warm = this.servers.occupy(server, entry.request, now);
		this.grants.put(entry.request.id(), new Grant(server, entry.request, now, warm));
		entry.answer.accept(SlotDecision.granted(server.member()));
	}

	private record Grant(PoolServer server, SlotRequest request, long grantedAtNanos, boolean warm) {
	}

	private record QueueEntry(SlotRequest request, Consumer<SlotDecision> answer, long enqueuedAtNanos, long sequence) {
	}

}

package org.hemlockgw.core.pool;

import java.util.List;
import java.util.Map;
import java.util.Set;
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

	/** Time during which a server is avoided after a failed request, in milliseconds. */
	private static final long FAILURE_COOLDOWN_MS = 1000;

	/**
	 * Longest time in milliseconds after which a refused caller may retry; the expected
	 * wait is unlimited in a pool without slots.
	 */
	private static final long MAX_RETRY_AFTER_MS = 10_000;

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private final PoolServers servers = new PoolServers();

	private final MemoryReservation reservation = new MemoryReservation(this.servers);

	private final SlotQueue queue = new SlotQueue();

	private final ProgramsUnderWay programs = new ProgramsUnderWay();

	private final GrantTable grants = new GrantTable(this.servers, this.programs);

	private final ProgramAdmissionPolicy admission = new ProgramAdmissionPolicy(this.programs);

	private final WaitBasedAdmission waits;

	private final SchedulerListener listener;

	private double averageDurationMs = INITIAL_DURATION_MS;

	private long sequence;

	private boolean serversChanged;

	/**
	 * Creates a scheduler without servers.
	 * @param nanoClock monotonic clock in nanoseconds
	 */
	public PoolScheduler(LongSupplier nanoClock) {
		this(nanoClock, SchedulerListener.NONE);
	}

	/**
	 * Creates a scheduler without servers.
	 * @param nanoClock monotonic clock in nanoseconds
	 * @param listener receives measurements
	 */
	public PoolScheduler(LongSupplier nanoClock, SchedulerListener listener) {
		this.nanoClock = nanoClock;
		this.waits = new WaitBasedAdmission(nanoClock);
		this.listener = listener;
	}

	/**
	 * Replaces the list of servers. A server that is missing from the list or draining
	 * receives no new requests.
	 * @param members servers of this pool
	 */
	public void updateServers(List<PoolMember> members) {
		this.servers.update(members);
		this.reservation.update();
		this.serversChanged = true;
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
		removeEarlier(request.id(), now);
		this.programs.recordArrival(request, now);
		QueuedRequest entry = QueuedRequest.create(request, answer, ++this.sequence, now, this.programs,
				this.averageDurationMs);
		if (request.isNewProgram()) {
			RefusalReason refusal = checkNewProgram(request);
			if (refusal != null) {
				refuse(entry, refusal, retryAfterMs(request), describe(refusal));
				return;
			}
		}
		// Queued requests are granted as soon as they fit.
		PoolServer server = this.servers.hasFreeSlot() ? select(request) : null;
		if (server != null) {
			grant(server, entry);
			return;
		}
		if (!this.servers.hasAvailable(Set.of())) {
			refuse(entry, RefusalReason.NO_SERVER, FAILURE_COOLDOWN_MS, "no server");
			return;
		}
		if (!this.servers.hasAvailable(request.excluded())) {
			refuse(entry, RefusalReason.NO_SERVER, Math.round(this.averageDurationMs), "no server is left to try");
			return;
		}
		long waitMs = expectedWaitMs(this.queue.countAhead(entry, now));
		if (waitMs > request.maxWaitMs()) {
			refuseForWait(entry, waitMs);
			return;
		}
		this.queue.add(entry, now);
		this.programs.recordQueued(request, now);
		grantQueuedRequests();
	}

	// A request that was sent again, after its answer was lost, would otherwise hold two
	// slots, or its first entry would leave the queue without an answer.
	private void removeEarlier(String id, long now) {
		this.grants.cancel(id, now);
		QueuedRequest queued = removeQueued(id);
		if (queued != null) {
			queued.answer().accept(SlotDecision.refused(Math.round(this.averageDurationMs), "request was sent again"));
		}
	}

	private @Nullable QueuedRequest removeQueued(String id) {
		this.reservation.remove(id);
		QueuedRequest entry = this.queue.remove(id);
		if (entry != null) {
			this.programs.recordDequeued(entry.request(), this.nanoClock.getAsLong());
		}
		return entry;
	}

	private @Nullable RefusalReason checkNewProgram(SlotRequest request) {
		return this.admission.check(request, this.servers.slotCount(), this.servers.hasSpareSlots(),
				!this.waits.isOpen(this.averageDurationMs), this.nanoClock.getAsLong());
	}

	private long retryAfterMs(SlotRequest request) {
		return this.admission.retryAfterMs(request, this.servers.slotCount(), this.averageDurationMs,
				this.nanoClock.getAsLong());
	}

	private String describe(RefusalReason refusal) {
		return ProgramAdmissionPolicy.describe(refusal) + ", " + this.queue.size() + " waiting and "
				+ this.grants.size() + " in flight";
	}

	private void refuseForWait(QueuedRequest entry, long waitMs) {
		long retryAfterMs = entry.request().isNewProgram() ? retryAfterMs(entry.request()) : waitMs;
		refuse(entry, RefusalReason.EXPECTED_WAIT, retryAfterMs, "expected wait of " + waitMs + " ms with "
				+ this.queue.size() + " waiting and " + this.grants.size() + " in flight");
	}

	private void refuse(QueuedRequest entry, RefusalReason reason, long retryAfterMs, String text) {
		this.listener.refused(reason);
		long delayMs = Math.max(1, Math.min(retryAfterMs, MAX_RETRY_AFTER_MS));
		entry.answer().accept(SlotDecision.refused(delayMs, text));
	}

	private long expectedWaitMs(int requestsAhead) {
		long slots = this.servers.slotCount();
		return (slots == 0) ? Long.MAX_VALUE : Math.round((requestsAhead + 1) * this.averageDurationMs / slots);
	}

	/**
	 * Removes a queued request. Has no effect if the request is not queued.
	 * @param id identifier of the request
	 */
	public void cancel(String id) {
		removeQueued(id);
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
		// It is not known when an earlier scheduler granted a slot.
		ResponseTiming measured = (failed || grant.restored()) ? ResponseTiming.NONE : timing;
		double durationMs = (now - grant.grantedAtNanos()) / (double) NANOS_PER_MS;
		this.programs.recordRelease(grant.request(), (measured.units() == 0) ? -1 : durationMs, now);
		this.servers.release(grant.server(), grant.request(), grant.warm(), measured, durationMs, now);
		if (failed) {
			grant.server().avoidUntil(now + FAILURE_COOLDOWN_MS * NANOS_PER_MS);
		}
		else if (measured.units() > 0) {
			this.averageDurationMs += SAMPLE_WEIGHT * (durationMs - this.averageDurationMs);
		}
		grantQueuedRequests();
	}

	/**
	 * Records a slot that an earlier scheduler of this pool granted. The request leaves
	 * the queue without an answer, because its daemon already has one.
	 * @param request the request that holds the slot
	 * @param serverId identifier of the server
	 */
	public void restoreGrant(SlotRequest request, String serverId) {
		removeQueued(request.id());
		PoolServer server = this.servers.find(serverId);
		if (server != null && !this.grants.contains(request.id())) {
			long now = this.nanoClock.getAsLong();
			this.grants.add(server, request, now, true);
			this.programs.recordGrant(request, now);
		}
	}

	/**
	 * Releases all slots and cancels all queued requests of a daemon that has failed.
	 * @param holder name of the daemon
	 */
	public void releaseAll(String holder) {
		for (QueuedRequest entry : this.queue.entries()) {
			if (entry.request().holder().equals(holder)) {
				cancel(entry.request().id());
			}
		}
		this.grants.cancelAll(holder, this.nanoClock.getAsLong());
		grantQueuedRequests();
	}

	/**
	 * Refuses requests that have exceeded their maximum waiting time and removes grants
	 * that were not released in time.
	 */
	public void expireOverdue() {
		long now = this.nanoClock.getAsLong();
		this.grants.expire(now);
		this.programs.expire(now);
		this.admission.expire(now);
		grantQueuedRequests();
		refuseWithoutServer();
		refuseHopeless();
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

	/**
	 * Returns how much less time in slots the account served least has received than the
	 * one served most, among those that wait.
	 * @return time in milliseconds
	 */
	public long fairShareLagMs() {
		return Math.round(this.queue.lagMs());
	}

	public int queued() {
		return this.queue.size();
	}

	private void refuseOverdue() {
		long now = this.nanoClock.getAsLong();
		for (QueuedRequest entry : this.queue.removeExpired(now)) {
			this.programs.recordDequeued(entry.request(), now);
			this.reservation.remove(entry.request().id());
			long retryAfterMs = entry.request().isNewProgram() ? retryAfterMs(entry.request())
					: Math.round(this.averageDurationMs);
			refuse(entry, RefusalReason.WAITED, retryAfterMs, "waited too long for a slot");
		}
	}

	// Requests that arrived later may have been placed before a request, so that its time
	// is no longer sufficient.
	private void refuseHopeless() {
		long now = this.nanoClock.getAsLong();
		long slots = this.servers.slotCount();
		Map<QueuedRequest, Long> hopeless = this.queue.findHopeless(now, this.averageDurationMs / Math.max(1, slots));
		hopeless.forEach((entry, waitMs) -> {
			if (removeQueued(entry.request().id()) != null) {
				refuseForWait(entry, waitMs);
			}
		});
	}

	// Called at intervals, so that a server that is replaced in two updates of the list
	// costs no requests.
	private void refuseWithoutServer() {
		if (!this.serversChanged) {
			return;
		}
		this.serversChanged = false;
		for (QueuedRequest entry : this.queue.entries()) {
			if (!this.servers.hasAvailable(entry.request().excluded()) && removeQueued(entry.request().id()) != null) {
				refuse(entry, RefusalReason.NO_SERVER, FAILURE_COOLDOWN_MS, "no server is left");
			}
		}
	}

	private @Nullable PoolServer select(SlotRequest request) {
		return this.servers.select(request, this.averageDurationMs, this.nanoClock.getAsLong());
	}

	private void grantQueuedRequests() {
		refuseOverdue();
		CandidateSearch search = new CandidateSearch(this::select, this.reservation);
		while (!this.queue.isEmpty() && this.servers.hasFreeSlot()) {
			QueuedRequest entry = this.queue.poll(this.nanoClock.getAsLong(), search);
			if (entry == null) {
				return;
			}
			PoolServer server = search.serverOf(entry);
			if (server != null) {
				grant(server, entry);
			}
			this.programs.recordDequeued(entry.request(), this.nanoClock.getAsLong());
		}
	}

	private void grant(PoolServer server, QueuedRequest entry) {
		SlotRequest request = entry.request();
		long now = this.nanoClock.getAsLong();
		double waitMs = (now - entry.enqueuedAtNanos()) / (double) NANOS_PER_MS;
		if (request.isNewProgram() && request.programRemainingMs() != Long.MAX_VALUE) {
			this.programs.profile(request.route()).recordObjective(request.programRemainingMs());
		}
		if (request.programStarted()) {
			this.waits.recordWait(waitMs);
		}
		this.programs.recordGrant(request, now);
		this.reservation.recordGrant();
		this.reservation.remove(request.id());
		this.listener.granted(request.priority(), Math.round(waitMs));
		this.grants.add(server, request, now, false);
		entry.answer().accept(SlotDecision.granted(server.member()));
	}

}

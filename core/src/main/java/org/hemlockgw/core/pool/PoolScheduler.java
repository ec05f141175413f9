package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
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
	 * Fraction by which requests on a full server take longer than on an idle one. It
	 * corresponds to the growth of a batched decode step.
	 */
	private static final double FULL_LOAD_SLOWDOWN = 0.25;

	/**
	 * Prompt tokens that an engine prefills per millisecond, as stated in the engine data
	 * sheet.
	 */
	private static final double PREFILL_TOKENS_PER_MS = 164;

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

	/**
	 * Fraction of the slots of a pool that must be free for new programs to be taken
	 * regardless of how long others waited before.
	 */
	private static final double SPARE_SLOTS_FRACTION = 0.2;

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private final Map<String, Server> servers = new HashMap<>();

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
		Set<String> memberIds = new HashSet<>();
		for (PoolMember member : members) {
			memberIds.add(member.id());
			Server existing = this.servers.get(member.id());
			if (existing == null || existing.member.startedAtMs() != member.startedAtMs()) {
				this.servers.put(member.id(), new Server(member));
			}
			else {
				existing.member = member;
			}
		}
		this.servers.keySet().retainAll(memberIds);
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
		if (isNewProgram(request) && !hasSpareSlots() && !this.admission.isOpen(this.averageDurationMs)) {
			answer.accept(
					SlotDecision.refused(this.admission.retryAfterMs(request.id()), "started programs wait for slots, "
							+ this.queue.size() + " waiting and " + this.grants.size() + " in flight"));
			return;
		}
		Server server = this.queue.isEmpty() ? selectServer(request) : null;
		if (server != null) {
			grant(server, entry);
			return;
		}
		if (!hasAvailableServer(Set.of())) {
			answer.accept(SlotDecision.refused(FAILURE_COOLDOWN_MS, "no server"));
			return;
		}
		if (!hasAvailableServer(request.excluded())) {
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
		int slots = 0;
		for (Server server : this.servers.values()) {
			slots += server.member.draining() ? 0 : server.member.slots();
		}
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
		Grant grant = this.grants.remove(id);
		if (grant == null) {
			return;
		}
		long now = this.nanoClock.getAsLong();
		Server server = grant.server;
		server.inFlight--;
		double durationMs = (now - grant.grantedAtNanos) / (double) NANOS_PER_MS;
		if (failed) {
			server.cooldownUntilNanos = now + FAILURE_COOLDOWN_MS * NANOS_PER_MS;
		}
		else if (units > 0) {
			this.averageDurationMs += SAMPLE_WEIGHT * (durationMs - this.averageDurationMs);
			double sampleMsPerUnit = durationMs / units;
			server.msPerUnit = Double.isNaN(server.msPerUnit) ? sampleMsPerUnit
					: server.msPerUnit + SAMPLE_WEIGHT * (sampleMsPerUnit - server.msPerUnit);
		}
		grantQueuedRequests();
	}

	/**
	 * Records a slot that an earlier scheduler of this pool granted.
	 * @param request the request that holds the slot
	 * @param serverId identifier of the server
	 */
	public void restoreGrant(SlotRequest request, String serverId) {
		Server server = this.servers.get(serverId);
		if (server != null && !this.grants.containsKey(request.id())) {
			server.inFlight++;
			this.grants.put(request.id(), new Grant(server, request, this.nanoClock.getAsLong()));
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
				grant.server.inFlight--;
				iterator.remove();
			}
		}
		grantQueuedRequests();
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

	private void grantQueuedRequests() {
		refuseOverdue();
		Iterator<QueueEntry> iterator = List.copyOf(this.queue).iterator();
		while (iterator.hasNext() && hasFreeSlot()) {
			QueueEntry entry = iterator.next();
			Server server = selectServer(entry.request);
			if (server != null) {
				cancel(entry.request.id());
				grant(server, entry);
			}
		}
	}

	private void grant(Server server, QueueEntry entry) {
		if (entry.request.programStarted()) {
			this.admission.recordWait((this.nanoClock.getAsLong() - entry.enqueuedAtNanos) / (double) NANOS_PER_MS);
		}
		server.inFlight++;
		server.cache.markCached(entry.request.prompt());
		this.grants.put(entry.request.id(), new Grant(server, entry.request, this.nanoClock.getAsLong()));
		entry.answer.accept(SlotDecision.granted(server.member));
	}

	private boolean hasAvailableServer(Set<String> excluded) {
		return this.servers.values()
			.stream()
			.anyMatch((server) -> !server.member.draining() && !excluded.contains(server.member.id()));
	}

	private boolean hasSpareSlots() {
		int slots = 0;
		int inFlight = 0;
		for (Server server : this.servers.values()) {
			if (!server.member.draining()) {
				slots += server.member.slots();
				inFlight += server.inFlight;
			}
		}
		return slots - inFlight > SPARE_SLOTS_FRACTION * slots;
	}

	private boolean hasFreeSlot() {
		return this.servers.values()
			.stream()
			.anyMatch((server) -> !server.member.draining() && server.inFlight < server.member.slots());
	}

	private @Nullable Server selectServer(SlotRequest request) {
		long now = this.nanoClock.getAsLong();
		Server selected = null;
		double lowestCost = Double.MAX_VALUE;
		double averageMsPerUnit = averageMsPerUnit();
		for (Server server : this.servers.values()) {
			if (server.member.draining() || server.inFlight >= server.member.slots()
					|| request.excluded().contains(server.member.id())) {
				continue;
			}
			double cost = estimateCost(server, request, averageMsPerUnit);
			if (server.cooldownUntilNanos - now > 0) {
				cost += 10 * this.averageDurationMs;
			}
			if (cost < lowestCost) {
				selected = server;
				lowestCost = cost;
			}
		}
		return selected;
	}

	private double estimateCost(Server server, SlotRequest request, double averageMsPerUnit) {
		double msPerUnit = Double.isNaN(server.msPerUnit) ? averageMsPerUnit : server.msPerUnit;
		double relativeDuration = (averageMsPerUnit > 0) ? msPerUnit / averageMsPerUnit : 1;
		double loadFactor = 1 + FULL_LOAD_SLOWDOWN * server.inFlight / Math.max(1, server.member.slots());
		double savedPrefillMs = server.cache.countCachedTokens(request.prompt()) / PREFILL_TOKENS_PER_MS;
		return this.averageDurationMs * relativeDuration * loadFactor - savedPrefillMs;
	}

	private double averageMsPerUnit() {
		double sum = 0;
		int count = 0;
		for (Server server : this.servers.values()) {
			if (!Double.isNaN(server.msPerUnit)) {
				sum += server.msPerUnit;
				count++;
			}
		}
		return (count == 0) ? 0 : sum / count;
	}

	private static final class Server {

		private final PromptCache cache = new PromptCache();

		private PoolMember member;

		private int inFlight;

		private double msPerUnit = Double.NaN;

		private long cooldownUntilNanos = Long.MIN_VALUE / 2;

		Server(PoolMember member) {
			this.member = member;
		}

	}

	private record Grant(Server server, SlotRequest request, long grantedAtNanos) {
	}

	private record QueueEntry(SlotRequest request, Consumer<SlotDecision> answer, long enqueuedAtNanos, long sequence) {
	}

}

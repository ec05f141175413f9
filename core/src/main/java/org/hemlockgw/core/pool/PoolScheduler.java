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
 * Queue and choice of a server for one pool. Servers admit requests in order of arrival,
 * so a server gets at most as many as it runs at once, and the rest waits here, where it
 * can be ordered. Not thread-safe.
 */
public final class PoolScheduler {

	/** Weight of a new sample in the averages; smooths over about ten requests. */
	private static final double SAMPLE_WEIGHT = 0.1;

	/** Duration assumed before the first answer, in milliseconds: a short model turn. */
	private static final double INITIAL_MS = 100;

	/**
	 * Slowdown of a full server against an idle one, as a fraction; a batched decode step
	 * grows by about this much.
	 */
	private static final double FULL_SLOWDOWN = 0.25;

	/** Prompt tokens that an engine reads in a millisecond; from the engines' sheet. */
	private static final double PREFILL_TOKENS_PER_MS = 164;

	/** Grants without a release end this long after the caller's deadline. */
	private static final long GRANT_SLACK_MS = 1000;

	/** Time for which a server that failed a request is avoided, in milliseconds. */
	private static final long AVOID_MS = 1000;

	private static final long NANOS_PER_MS = 1_000_000;

	private final LongSupplier nanoClock;

	private final Map<String, Server> servers = new HashMap<>();

	private final Map<String, Grant> grants = new HashMap<>();

	private final TreeSet<Waiting> queue = new TreeSet<>(
			Comparator.comparing((Waiting waiting) -> !waiting.request.programStarted())
				.thenComparingInt((waiting) -> waiting.request.priority())
				.thenComparingLong((waiting) -> waiting.sequence));

	private final Map<String, Waiting> waiting = new HashMap<>();

	private double averageMs = INITIAL_MS;

	private long sequence;

	public PoolScheduler(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	/**
	 * Replaces the list of servers. A server that is missing or draining gets nothing
	 * new.
	 * @param members servers of this pool
	 */
	public void updateServers(List<PoolMember> members) {
		Set<String> listed = new HashSet<>();
		for (PoolMember member : members) {
			listed.add(member.id());
			Server known = this.servers.get(member.id());
			if (known == null || known.member.bornMs() != member.bornMs()) {
				this.servers.put(member.id(), new Server(member));
			}
			else {
				known.member = member;
			}
		}
		this.servers.keySet().retainAll(listed);
		drainQueue();
	}

	/**
	 * Asks for a slot.
	 * @param request the request
	 * @param answer receives the outcome, possibly before this method returns
	 */
	public void submit(SlotRequest request, Consumer<SlotDecision> answer) {
		long now = this.nanoClock.getAsLong();
		Waiting entry = new Waiting(request, answer, now, ++this.sequence);
		Server server = this.queue.isEmpty() ? choose(request) : null;
		if (server != null) {
			grant(server, entry);
			return;
		}
		if (!hasUsableServer(Set.of())) {
			answer.accept(SlotDecision.refused(AVOID_MS, "no server"));
			return;
		}
		if (!hasUsableServer(request.excluded())) {
			answer.accept(SlotDecision.refused(Math.round(this.averageMs), "no server is left to try"));
			return;
		}
		long waitMs = expectedWaitMs(entry);
		if (waitMs > patienceMs(request)) {
			answer.accept(SlotDecision.refused(waitMs, "expected wait of " + waitMs + " ms with " + this.queue.size()
					+ " waiting and " + this.grants.size() + " in flight"));
			return;
		}
		this.queue.add(entry);
		this.waiting.put(request.id(), entry);
		drainQueue();
	}

	// A program that has begun is finished; a new one that would be late is better
	// refused while its caller can still come back in time.
	private static long patienceMs(SlotRequest request) {
		return request.programStarted() ? request.remainingMs()
				: Math.min(request.objectiveMs(), request.remainingMs());
	}

	private long expectedWaitMs(Waiting entry) {
		int slots = 0;
		for (Server server : this.servers.values()) {
			slots += server.member.draining() ? 0 : server.member.slots();
		}
		int ahead = this.queue.headSet(entry).size();
		return (slots == 0) ? Long.MAX_VALUE : Math.round((ahead + 1) * this.averageMs / slots);
	}

	/**
	 * Withdraws a request that is still waiting.
	 * @param id the request
	 */
	public void cancel(String id) {
		Waiting entry = this.waiting.remove(id);
		if (entry != null) {
			this.queue.remove(entry);
		}
	}

	/**
	 * Returns a slot.
	 * @param id the request that held it
	 * @param units size of the answer: events of a stream, 1 for a plain answer, 0 if
	 * nothing can be learnt from it
	 * @param failed whether the server failed
	 */
	public void release(String id, int units, boolean failed) {
		Grant grant = this.grants.remove(id);
		if (grant == null) {
			return;
		}
		long now = this.nanoClock.getAsLong();
		Server server = grant.server;
		server.inFlight--;
		double ms = (now - grant.sinceNanos) / (double) NANOS_PER_MS;
		if (failed) {
			server.avoidUntilNanos = now + AVOID_MS * NANOS_PER_MS;
		}
		else if (units > 0) {
			this.averageMs += SAMPLE_WEIGHT * (ms - this.averageMs);
			double perUnit = ms / units;
			server.unitMs = Double.isNaN(server.unitMs) ? perUnit
					: server.unitMs + SAMPLE_WEIGHT * (perUnit - server.unitMs);
		}
		drainQueue();
	}

	/**
	 * Records a slot that was granted by an earlier scheduler of this pool.
	 * @param request the request that holds it
	 * @param serverId the server
	 */
	public void restoreGrant(SlotRequest request, String serverId) {
		Server server = this.servers.get(serverId);
		if (server != null && !this.grants.containsKey(request.id())) {
			server.inFlight++;
			this.grants.put(request.id(), new Grant(server, request, this.nanoClock.getAsLong()));
		}
	}

	/**
	 * Ends what a lost daemon held or waited for.
	 * @param holder the daemon
	 */
	public void releaseAll(String holder) {
		List<String> lost = new ArrayList<>();
		this.grants.forEach((id, grant) -> {
			if (grant.request.holder().equals(holder)) {
				lost.add(id);
			}
		});
		lost.forEach((id) -> release(id, 0, false));
		this.waiting.values()
			.stream()
			.filter((entry) -> entry.request.holder().equals(holder))
			.map((entry) -> entry.request.id())
			.toList()
			.forEach(this::cancel);
	}

	/**
	 * Refuses requests whose time is over and ends grants that were never released.
	 */
	public void expireOverdue() {
		long now = this.nanoClock.getAsLong();
		List<Waiting> late = new ArrayList<>();
		for (Waiting entry : this.queue) {
			long waitedMs = (now - entry.sinceNanos) / NANOS_PER_MS;
			if (waitedMs > patienceMs(entry.request)) {
				late.add(entry);
			}
		}
		for (Waiting entry : late) {
			cancel(entry.request.id());
			entry.answer.accept(SlotDecision.refused(Math.round(this.averageMs), "waited too long for a slot"));
		}
		Iterator<Grant> open = this.grants.values().iterator();
		while (open.hasNext()) {
			Grant grant = open.next();
			if (now - grant.sinceNanos > (grant.request.remainingMs() + GRANT_SLACK_MS) * NANOS_PER_MS) {
				grant.server.inFlight--;
				open.remove();
			}
		}
		drainQueue();
	}

	public int inFlight() {
		return this.grants.size();
	}

	public int queued() {
		return this.queue.size();
	}

	private void drainQueue() {
		Iterator<Waiting> entries = List.copyOf(this.queue).iterator();
		while (entries.hasNext() && hasFreeSlot()) {
			Waiting entry = entries.next();
			Server server = choose(entry.request);
			if (server != null) {
				cancel(entry.request.id());
				grant(server, entry);
			}
		}
	}

	private void grant(Server server, Waiting entry) {
		server.inFlight++;
		server.cache.add(entry.request.prompt());
		this.grants.put(entry.request.id(), new Grant(server, entry.request, this.nanoClock.getAsLong()));
		entry.answer.accept(SlotDecision.granted(server.member));
	}

	private boolean hasUsableServer(Set<String> excluded) {
		return this.servers.values()
			.stream()
			.anyMatch((server) -> !server.member.draining() && !excluded.contains(server.member.id()));
	}

	private boolean hasFreeSlot() {
		return this.servers.values()
			.stream()
			.anyMatch((server) -> !server.member.draining() && server.inFlight < server.member.slots());
	}

	private @Nullable Server choose(SlotRequest request) {
		long now = this.nanoClock.getAsLong();
		Server best = null;
		double bestCost = Double.MAX_VALUE;
		double typicalUnitMs = typicalUnitMs();
		for (Server server : this.servers.values()) {
			if (server.member.draining() || server.inFlight >= server.member.slots()
					|| request.excluded().contains(server.member.id())) {
				continue;
			}
			double cost = cost(server, request, typicalUnitMs);
			if (server.avoidUntilNanos - now > 0) {
				cost += 10 * this.averageMs;
			}
			if (cost < bestCost) {
				best = server;
				bestCost = cost;
			}
		}
		return best;
	}

	private double cost(Server server, SlotRequest request, double typicalUnitMs) {
		double unitMs = Double.isNaN(server.unitMs) ? typicalUnitMs : server.unitMs;
		double slowness = (typicalUnitMs > 0) ? unitMs / typicalUnitMs : 1;
		double load = 1 + FULL_SLOWDOWN * server.inFlight / Math.max(1, server.member.slots());
		double cachedMs = server.cache.held(request.prompt()) / PREFILL_TOKENS_PER_MS;
		return this.averageMs * slowness * load - cachedMs;
	}

	private double typicalUnitMs() {
		double sum = 0;
		int known = 0;
		for (Server server : this.servers.values()) {
			if (!Double.isNaN(server.unitMs)) {
				sum += server.unitMs;
				known++;
			}
		}
		return (known == 0) ? 0 : sum / known;
	}

	private static final class Server {

		private final PromptCache cache = new PromptCache();

		private PoolMember member;

		private int inFlight;

		private double unitMs = Double.NaN;

		private long avoidUntilNanos = Long.MIN_VALUE / 2;

		Server(PoolMember member) {
			this.member = member;
		}

	}

	private record Grant(Server server, SlotRequest request, long sinceNanos) {
	}

	private record Waiting(SlotRequest request, Consumer<SlotDecision> answer, long sinceNanos, long sequence) {
	}

}

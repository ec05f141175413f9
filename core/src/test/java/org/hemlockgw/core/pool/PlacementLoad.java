package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleBiFunction;

/**
 * Sessions of several turns that drive {@link PoolScheduler} in virtual time, and what
 * their callers see.
 */
final class PlacementLoad {

	private static final int PAUSE_MS = 120;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Random random;

	private final ToDoubleBiFunction<String, Long> slowness;

	private double nowMs;

	private long sequence;

	final PoolScheduler scheduler = new PoolScheduler(() -> (long) (this.nowMs * 1_000_000));

	final Map<String, Integer> requests = new HashMap<>();

	final Map<String, Long> runningTokens = new HashMap<>();

	final Map<String, Integer> running = new HashMap<>();

	final Map<String, List<Visit>> visits = new HashMap<>();

	final List<Double> moves = new ArrayList<>();

	int memoryTokens;

	int beyondMemory;

	int completed;

	int baseTokens = 300;

	/**
	 * Creates a load without sessions.
	 * @param seed seed of all random values
	 * @param slowness time of a step relative to the usual one, by server and time in
	 * milliseconds
	 */
	PlacementLoad(long seed, ToDoubleBiFunction<String, Long> slowness) {
		this.random = new Random(seed);
		this.slowness = slowness;
	}

	void setServers(List<PoolMember> members) {
		this.scheduler.setMemoryTokens(this.memoryTokens);
		this.scheduler.updateServers(members);
	}

	static PoolMember member(String id, int slots) {
		return new PoolMember(id, "p", "10.0.0.1:80", "a", slots, false, 0);
	}

	void schedule(double atMs, Runnable action) {
		this.events.add(new Event(atMs, ++this.sequence, action));
	}

	/**
	 * Begins sessions at random times.
	 * @param perSecond sessions a second
	 * @param turns turns of each session
	 * @param endMs time of the last session
	 */
	void addSessions(double perSecond, int turns, double endMs) {
		for (double at = 0; at < endMs; at -= 1000 * Math.log(1 - this.random.nextDouble()) / perSecond) {
			String session = "s" + ++this.sequence;
			schedule(at, () -> turn(session, 0, turns));
		}
	}

	void run(double endMs) {
		for (double tick = 0; tick < endMs; tick += 50) {
			schedule(tick, this.scheduler::expireOverdue);
		}
		while (!this.events.isEmpty() && this.events.peek().atMs() <= endMs) {
			Event next = this.events.remove();
			this.nowMs = next.atMs();
			next.action().run();
		}
	}

	private void turn(String session, int number, int turns) {
		List<PromptPart> prompt = new ArrayList<>();
		prompt.add(new PromptPart("k" + Math.floorMod(session.hashCode(), 6), this.baseTokens));
		for (int i = 0; i <= number; i++) {
			prompt.add(new PromptPart(session + "-" + i, 300));
		}
		String id = session + "." + number + "." + ++this.sequence;
		SlotRequest request = new SlotRequest(id, "d", "", session, 0, number > 0, Long.MAX_VALUE, 10_000, 20_000,
				prompt, 64, Set.of(), Set.of());
		this.scheduler.submit(request, (decision) -> {
			String server = decision.serverId();
			if (server == null) {
				schedule(this.nowMs + decision.retryAfterMs() + 1, () -> turn(session, number, turns));
				return;
			}
			run(request, server, () -> {
				if (number + 1 < turns) {
					schedule(this.nowMs + PAUSE_MS, () -> turn(session, number + 1, turns));
				}
			});
		});
	}

	private void run(SlotRequest request, String server, Runnable next) {
		long tokens = PoolServer.countTokens(request.prompt()) + request.maxTokens();
		long total = this.runningTokens.merge(server, tokens, Long::sum);
		int batch = this.running.merge(server, 1, Integer::sum);
		this.beyondMemory += (batch > 1 && total > this.memoryTokens) ? 1 : 0;
		this.requests.merge(server, 1, Integer::sum);
		List<Visit> past = this.visits.computeIfAbsent(request.session(), (key) -> new ArrayList<>());
		if (!past.isEmpty() && !past.get(past.size() - 1).server().equals(server)) {
			this.moves.add(this.nowMs);
		}
		past.add(new Visit(server, this.nowMs));
		double stepMs = 2.77 * this.slowness.applyAsDouble(server, (long) this.nowMs)
				* (0.85 + 0.3 * this.random.nextDouble()) * (1 + 0.25 * (batch - 1) / 6);
		int units = 3 + this.random.nextInt(6);
		double firstMs = 8 * stepMs + 5;
		double gapMs = 8 * stepMs;
		schedule(this.nowMs + firstMs + gapMs * (units - 1), () -> {
			this.runningTokens.merge(server, -tokens, Long::sum);
			this.running.merge(server, -1, Integer::sum);
			this.completed++;
			this.scheduler.release(request.id(),
					new ResponseTiming(units, (int) (firstMs * 1000), (int) (gapMs * 1000)), false);
			next.run();
		});
	}

	long movesIn(double fromMs, double toMs) {
		return this.moves.stream().filter((at) -> at >= fromMs && at < toMs).count();
	}

	/**
	 * Returns the sessions that had a turn before a time and another one within 5 s after
	 * it.
	 * @param atMs the time
	 * @return number of sessions
	 */
	long sessionsAcross(double atMs) {
		return this.visits.values()
			.stream()
			.filter((list) -> list.stream().anyMatch((visit) -> visit.atMs() < atMs)
					&& list.stream().anyMatch((visit) -> visit.atMs() >= atMs && visit.atMs() < atMs + 5000))
			.count();
	}

	record Visit(String server, double atMs) {
	}

	private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Double.compare(this.atMs, other.atMs);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}

package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Order of the requests that wait for a slot: started programs, programs that can still
 * meet their objective, priority, then accounts by {@link AccountFairQueue}. Each
 * operation costs time logarithmic in the length of the queue unless stated otherwise.
 * Not thread-safe.
 */
final class SlotQueue {

	/**
	 * Number of grants after which a late request of a started program is served before
	 * others of its priority. Without it, late requests were held until their deadline
	 * while a pool was overloaded.
	 */
	private static final int GRANTS_PER_LATE_REQUEST = 8;

	/**
	 * Factor by which the expected wait of a request that is not the first of a program
	 * must exceed its time before it is refused while it waits; a refusal costs all work
	 * of its program.
	 */
	private static final double STARTED_WAIT_TOLERANCE = 2;

	private static final long NANOS_PER_MS = 1_000_000;

	private static final Comparator<QueuedRequest> BY_SEQUENCE = Comparator.comparingLong(QueuedRequest::sequence);

	private final TreeMap<Level, AccountFairQueue> levels = new TreeMap<>();

	private final Map<String, QueuedRequest> byId = new HashMap<>();

	private final Map<String, Level> levelsById = new HashMap<>();

	private final TreeSet<QueuedRequest> byExpiry = new TreeSet<>(
			Comparator.comparingLong(QueuedRequest::expiresAtNanos).thenComparing(BY_SEQUENCE));

	// Requests in levels that are not late.
	private final TreeSet<QueuedRequest> byLateTime = new TreeSet<>(
			Comparator.comparingLong(QueuedRequest::lateAtNanos).thenComparing(BY_SEQUENCE));

	private int grantsBeforeLate;

	void add(QueuedRequest entry, long nowNanos) {
		remove(entry.request().id());
		this.byId.put(entry.request().id(), entry);
		this.byExpiry.add(entry);
		addToLevel(entry, levelOf(entry, nowNanos));
	}

	private void addToLevel(QueuedRequest entry, Level level) {
		this.levelsById.put(entry.request().id(), level);
		this.levels.computeIfAbsent(level, (key) -> new AccountFairQueue()).add(entry);
		if (!level.late()) {
			this.byLateTime.add(entry);
		}
	}

	private static Level levelOf(QueuedRequest entry, long nowNanos) {
		SlotRequest request = entry.request();
		return new Level(!request.programStarted(), entry.lateAtNanos() < nowNanos, request.priority());
	}

	/**
	 * Removes a request.
	 * @param id identifier of the request
	 * @return the request, or null if it is not queued
	 */
	@Nullable QueuedRequest remove(String id) {
		QueuedRequest entry = this.byId.remove(id);
		if (entry != null) {
			this.byExpiry.remove(entry);
			removeFromLevel(entry, false);
		}
		return entry;
	}

	private void removeFromLevel(QueuedRequest entry, boolean served) {
		Level level = this.levelsById.remove(entry.request().id());
		AccountFairQueue queue = (level != null) ? this.levels.get(level) : null;
		if (level == null || queue == null) {
			return;
		}
		queue.remove(entry, served);
		this.byLateTime.remove(entry);
		if (queue.isEmpty()) {
			this.levels.remove(level);
		}
	}

	/**
	 * Removes and returns the first eligible request.
	 * @param nowNanos current time
	 * @param eligible whether a request can be served now; called in the order of the
	 * queue until it returns true
	 * @return the request, or null if there is none
	 */
	@Nullable QueuedRequest poll(long nowNanos, Predicate<QueuedRequest> eligible) {
		moveLate(nowNanos);
		QueuedRequest entry = firstEligible((level) -> true, eligible);
		if (entry != null && this.grantsBeforeLate >= GRANTS_PER_LATE_REQUEST) {
			int priority = entry.request().priority();
			QueuedRequest late = firstEligible(
					(level) -> level.late() && !level.newProgram() && level.priority() <= priority, eligible);
			entry = (late != null) ? late : entry;
		}
		if (entry != null) {
			boolean passed = !isLate(entry) && this.levels.keySet().stream().anyMatch(Level::late);
			this.grantsBeforeLate = passed ? this.grantsBeforeLate + 1 : 0;
			this.byId.remove(entry.request().id());
			this.byExpiry.remove(entry);
			removeFromLevel(entry, true);
		}
		return entry;
	}

	private boolean isLate(QueuedRequest entry) {
		Level level = this.levelsById.get(entry.request().id());
		return level != null && level.late();
	}

	private @Nullable QueuedRequest firstEligible(Predicate<Level> condition, Predicate<QueuedRequest> eligible) {
		for (Map.Entry<Level, AccountFairQueue> level : this.levels.entrySet()) {
			QueuedRequest entry = condition.test(level.getKey()) ? level.getValue().first(eligible) : null;
			if (entry != null) {
				return entry;
			}
		}
		return null;
	}

	private void moveLate(long nowNanos) {
		while (!this.byLateTime.isEmpty() && this.byLateTime.first().lateAtNanos() < nowNanos) {
			QueuedRequest entry = this.byLateTime.first();
			removeFromLevel(entry, false);
			addToLevel(entry, levelOf(entry, nowNanos));
		}
	}

	/**
	 * Returns the requests whose maximum waiting time has passed.
	 * @param nowNanos current time
	 * @return the requests, removed from the queue
	 */
	List<QueuedRequest> removeExpired(long nowNanos) {
		List<QueuedRequest> expired = new ArrayList<>();
		while (!this.byExpiry.isEmpty() && this.byExpiry.first().expiresAtNanos() <= nowNanos) {
			QueuedRequest entry = this.byExpiry.first();
			remove(entry.request().id());
			expired.add(entry);
		}
		return expired;
	}

	/**
	 * Returns the number of requests that are served before a new one. Costs time linear
	 * in the requests of its account.
	 * @param entry the new request
	 * @param nowNanos current time
	 * @return number of requests
	 */
	int countAhead(QueuedRequest entry, long nowNanos) {
		Level level = levelOf(entry, nowNanos);
		int ahead = 0;
		for (AccountFairQueue queue : this.levels.headMap(level, false).values()) {
			ahead += queue.size();
		}
		AccountFairQueue own = this.levels.get(level);
		return (own != null) ? ahead + own.countAhead(entry) : ahead;
	}

	/**
	 * Returns the requests whose expected wait exceeds their time. Costs time linear in
	 * the length of the queue.
	 * @param nowNanos current time
	 * @param intervalMs average time between two free slots in milliseconds
	 * @return the requests with their expected wait in milliseconds
	 */
	Map<QueuedRequest, Long> findHopeless(long nowNanos, double intervalMs) {
		Map<QueuedRequest, Long> hopeless = new LinkedHashMap<>();
		forEach((entry, ahead) -> {
			double tolerance = entry.request().isNewProgram() ? 1 : STARTED_WAIT_TOLERANCE;
			long leftMs = (entry.expiresAtNanos() - nowNanos) / NANOS_PER_MS;
			// The first request of the queue is waiting for the next free slot.
			double waitMs = ahead * intervalMs;
			if (waitMs > tolerance * leftMs) {
				hopeless.put(entry, Math.round(waitMs));
			}
		});
		return hopeless;
	}

	/**
	 * Passes each request with the estimated number of requests that are served before
	 * it. Costs time linear in the length of the queue.
	 * @param visitor receives a request and that number
	 */
	void forEach(ObjIntConsumer<QueuedRequest> visitor) {
		int ahead = 0;
		for (AccountFairQueue queue : this.levels.values()) {
			int base = ahead;
			queue.forEach((entry, position) -> visitor.accept(entry, base + position));
			ahead += queue.size();
		}
	}

	/**
	 * Returns all requests in an arbitrary order.
	 * @return copy of the queue
	 */
	List<QueuedRequest> entries() {
		return List.copyOf(this.byId.values());
	}

	/**
	 * Returns the largest lag of an account in any level.
	 * @return time in slots in milliseconds
	 */
	double lagMs() {
		return this.levels.values().stream().mapToDouble(AccountFairQueue::lagMs).max().orElse(0);
	}

	boolean isEmpty() {
		return this.byId.isEmpty();
	}

	int size() {
		return this.byId.size();
	}

	private record Level(boolean newProgram, boolean late, int priority) implements Comparable<Level> {

		private static final Comparator<Level> ORDER = Comparator.comparing(Level::newProgram)
			.thenComparing(Level::late)
			.thenComparingInt(Level::priority);

		@Override
		public int compareTo(Level other) {
			return ORDER.compare(this, other);
		}

	}

}

package org.hemlockgw.core.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.jspecify.annotations.Nullable;

/**
 * Orders requests by client account with deficit round robin, then by least attained
 * service of the program with ageing. Not thread-safe.
 *
 * @param <T> type of the payload
 */
public final class FairQueue<T> {

	/** Tokens that an account of weight 1 may send in one round. */
	public static final double QUANTUM_TOKENS = 2_000;

	/**
	 * Tokens of attained service that one second of waiting makes up for. A program of
	 * 390,000 tokens catches up with a new one after 39 s, so that no program starves.
	 */
	public static final double AGEING_TOKENS_PER_SECOND = 10_000;

	private static final double MIN_WEIGHT = 0.001;

	private final ToDoubleFunction<String> weightOf;

	private final Map<String, Lane<T>> lanes = new HashMap<>();

	private final Deque<Lane<T>> active = new ArrayDeque<>();

	private int size;

	private long tokens;

	private boolean roundStarted;

	/**
	 * Creates an empty queue.
	 * @param weightOf weight of a client account, read at the start of each round
	 */
	public FairQueue(ToDoubleFunction<String> weightOf) {
		this.weightOf = weightOf;
	}

	public void add(QueuedRequest<T> request) {
		Lane<T> lane = this.lanes.computeIfAbsent(request.account(), Lane::new);
		if (lane.requests.isEmpty()) {
			this.active.addLast(lane);
		}
		lane.requests.add(request);
		this.size++;
		this.tokens += request.costTokens();
	}

	/**
	 * Removes the next request.
	 * @param eligible requests that may start now; others keep their place
	 * @return the request, or {@code null} when none is eligible
	 */
	public @Nullable QueuedRequest<T> poll(Predicate<QueuedRequest<T>> eligible) {
		if (this.active.stream().noneMatch((lane) -> lane.first(eligible) != null)) {
			return null;
		}
		while (true) {
			Lane<T> lane = this.active.getFirst();
			QueuedRequest<T> next = lane.first(eligible);
			if (next == null) {
				rotate();
				continue;
			}
			if (!this.roundStarted) {
				lane.deficit += QUANTUM_TOKENS * Math.max(MIN_WEIGHT, this.weightOf.applyAsDouble(lane.account));
				this.roundStarted = true;
			}
			if (lane.deficit < next.costTokens()) {
				rotate();
				continue;
			}
			lane.deficit -= next.costTokens();
			take(lane, next);
			return next;
		}
	}

	/**
	 * Removes all requests that match.
	 * @param match selects requests
	 * @return the removed requests
	 */
	public List<QueuedRequest<T>> removeIf(Predicate<QueuedRequest<T>> match) {
		List<QueuedRequest<T>> removed = new ArrayList<>();
		for (Lane<T> lane : List.copyOf(this.active)) {
			List<QueuedRequest<T>> found = lane.requests.stream().filter(match).toList();
			found.forEach((request) -> take(lane, request));
			removed.addAll(found);
		}
		return removed;
	}

	public int size() {
		return this.size;
	}

	/**
	 * Returns the estimated work in the queue.
	 * @return tokens
	 */
	public long tokens() {
		return this.tokens;
	}

	private void rotate() {
		this.active.addLast(this.active.removeFirst());
		this.roundStarted = false;
	}

	private void take(Lane<T> lane, QueuedRequest<T> request) {
		lane.requests.remove(request);
		this.size--;
		this.tokens -= request.costTokens();
		if (!lane.requests.isEmpty()) {
			return;
		}
		// An account without requests keeps no credit, or it could save up for a burst.
		this.roundStarted &= this.active.getFirst() != lane;
		this.active.remove(lane);
		this.lanes.remove(lane.account);
	}

	private static double rank(QueuedRequest<?> request) {
		// Ageing has the same slope for all, so the order never changes while waiting.
		Duration sinceEpoch = Duration.between(Instant.EPOCH, request.enqueuedAt());
		return request.attainedTokens() + sinceEpoch.toMillis() / 1000.0 * AGEING_TOKENS_PER_SECOND;
	}

	private static final class Lane<T> {

		private final String account;

		private final PriorityQueue<QueuedRequest<T>> requests = new PriorityQueue<>(
				Comparator.comparingDouble(FairQueue::rank));

		private double deficit;

		Lane(String account) {
			this.account = account;
		}

		@Nullable QueuedRequest<T> first(Predicate<QueuedRequest<T>> eligible) {
			QueuedRequest<T> head = this.requests.peek();
			if (head == null || eligible.test(head)) {
				return head;
			}
			return this.requests.stream()
				.filter(eligible)
				.min(Comparator.comparingDouble(FairQueue::rank))
				.orElse(null);
		}

	}

}

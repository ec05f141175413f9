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
 * Queue that shares an engine between client accounts by deficit round robin. Within an
 * account, requests are ordered by least attained service of their program, with ageing.
 * Not thread-safe.
 *
 * @param <T> type of the payload
 */
public final class FairQueue<T> {

	/** Tokens that an account of weight 1 may send per round. */
	public static final double QUANTUM_TOKENS = 2_000;

	/**
	 * Tokens of attained service that are offset by one second of waiting, so that no
	 * program starves: a program with 390,000 tokens catches up with a new one after 39
	 * s.
	 */
	public static final double AGEING_TOKENS_PER_SECOND = 10_000;

	private static final double MIN_WEIGHT = 0.001;

	private final ToDoubleFunction<String> accountWeight;

	private final Map<String, AccountQueue<T>> queuesByAccount = new HashMap<>();

	private final Deque<AccountQueue<T>> activeQueues = new ArrayDeque<>();

	private int size;

	private long tokens;

	private boolean quantumAdded;

	/**
	 * Creates an empty queue.
	 * @param accountWeight returns the weight of a client account; called at the start of
	 * each round of the account
	 */
	public FairQueue(ToDoubleFunction<String> accountWeight) {
		this.accountWeight = accountWeight;
	}

	public void add(QueuedRequest<T> request) {
		AccountQueue<T> accountQueue = this.queuesByAccount.computeIfAbsent(request.account(), AccountQueue::new);
		if (accountQueue.requests.isEmpty()) {
			this.activeQueues.addLast(accountQueue);
		}
		accountQueue.requests.add(request);
		this.size++;
		this.tokens += request.costTokens();
	}

	/**
	 * Removes and returns the next eligible request.
	 * @param eligible selects the requests that may start now; others keep their position
	 * @return the request, or {@code null} if none is eligible
	 */
	public @Nullable QueuedRequest<T> poll(Predicate<QueuedRequest<T>> eligible) {
		if (this.activeQueues.stream().noneMatch((accountQueue) -> accountQueue.firstEligible(eligible) != null)) {
			return null;
		}
		while (true) {
			AccountQueue<T> accountQueue = this.activeQueues.getFirst();
			QueuedRequest<T> next = accountQueue.firstEligible(eligible);
			if (next == null) {
				rotate();
				continue;
			}
			if (!this.quantumAdded) {
				accountQueue.deficit += QUANTUM_TOKENS
						* Math.max(MIN_WEIGHT, this.accountWeight.applyAsDouble(accountQueue.account));
				this.quantumAdded = true;
			}
			if (accountQueue.deficit < next.costTokens()) {
				rotate();
				continue;
			}
			accountQueue.deficit -= next.costTokens();
			remove(accountQueue, next);
			return next;
		}
	}

	/**
	 * Removes all requests that satisfy a condition.
	 * @param condition the condition
	 * @return the removed requests
	 */
	public List<QueuedRequest<T>> removeIf(Predicate<QueuedRequest<T>> condition) {
		List<QueuedRequest<T>> removed = new ArrayList<>();
		for (AccountQueue<T> accountQueue : List.copyOf(this.activeQueues)) {
			List<QueuedRequest<T>> matching = accountQueue.requests.stream().filter(condition).toList();
			matching.forEach((request) -> remove(accountQueue, request));
			removed.addAll(matching);
		}
		return removed;
	}

	public int size() {
		return this.size;
	}

	/**
	 * Returns the estimated work in the queue.
	 * @return the number of tokens
	 */
	public long tokens() {
		return this.tokens;
	}

	private void rotate() {
		this.activeQueues.addLast(this.activeQueues.removeFirst());
		this.quantumAdded = false;
	}

	private void remove(AccountQueue<T> accountQueue, QueuedRequest<T> request) {
		accountQueue.requests.remove(request);
		this.size--;
		this.tokens -= request.costTokens();
		if (!accountQueue.requests.isEmpty()) {
			return;
		}
		// An account without requests loses its deficit; otherwise it could accumulate
		// credit for a burst.
		this.quantumAdded &= this.activeQueues.getFirst() != accountQueue;
		this.activeQueues.remove(accountQueue);
		this.queuesByAccount.remove(accountQueue.account);
	}

	private static double sortKey(QueuedRequest<?> request) {
		// All requests age at the same rate, so their order does not change while they
		// wait and the key can be computed from the arrival time.
		Duration sinceEpoch = Duration.between(Instant.EPOCH, request.enqueuedAt());
		return request.attainedTokens() + sinceEpoch.toMillis() / 1000.0 * AGEING_TOKENS_PER_SECOND;
	}

	private static final class AccountQueue<T> {

		private final String account;

		private final PriorityQueue<QueuedRequest<T>> requests = new PriorityQueue<>(
				Comparator.comparingDouble(FairQueue::sortKey));

		private double deficit;

		AccountQueue(String account) {
			this.account = account;
		}

		@Nullable QueuedRequest<T> firstEligible(Predicate<QueuedRequest<T>> eligible) {
			QueuedRequest<T> head = this.requests.peek();
			if (head == null || eligible.test(head)) {
				return head;
			}
			return this.requests.stream()
				.filter(eligible)
				.min(Comparator.comparingDouble(FairQueue::sortKey))
				.orElse(null);
		}

	}

}

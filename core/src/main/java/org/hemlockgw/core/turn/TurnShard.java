package org.hemlockgw.core.turn;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Turns and token budgets of the programs of one shard. Not thread-safe.
 */
public final class TurnShard {

	private final Map<String, TurnRecord> turns = new HashMap<>();

	private final Map<String, Instant> expiryTimes = new HashMap<>();

	private final Map<String, ProgramBudget> budgets = new HashMap<>();

	/**
	 * Returns a turn with all its ancestors, oldest first.
	 * @param id identifier of the newest turn
	 * @return the chain, or null if a turn of it is missing or the chain is cyclic
	 */
	public @Nullable List<TurnRecord> findChain(String id) {
		Deque<TurnRecord> chain = new ArrayDeque<>();
		Set<String> visited = new HashSet<>();
		String next = id;
		while (next != null) {
			TurnRecord turn = this.turns.get(next);
			if (turn == null || !visited.add(next)) {
				return null;
			}
			chain.addFirst(turn);
			next = turn.parent();
		}
		return List.copyOf(chain);
	}

	/**
	 * Adds a turn. All its ancestors are retained at least as long as the turn itself,
	 * regardless of the order in which they are added.
	 * @param turn the turn
	 */
	public void add(TurnRecord turn) {
		this.turns.put(turn.id(), turn);
		Instant expiresAt = turn.expiresAt();
		Instant current = this.expiryTimes.get(turn.id());
		if (current != null && current.isAfter(expiresAt)) {
			expiresAt = current;
		}
		this.expiryTimes.put(turn.id(), expiresAt);
		extendAncestors(turn, expiresAt);
	}

	private void extendAncestors(TurnRecord turn, Instant expiresAt) {
		TurnRecord next = turn;
		while (next != null) {
			String parent = next.parent();
			Instant current = (parent != null) ? this.expiryTimes.get(parent) : null;
			if (parent == null || (current != null && !current.isBefore(expiresAt))) {
				return;
			}
			this.expiryTimes.put(parent, expiresAt);
			next = this.turns.get(parent);
		}
	}

	/**
	 * Retains a turn with all its ancestors at least until a given time, because another
	 * turn continues it.
	 * @param id identifier of the turn
	 * @param time the time
	 */
	public void retainChain(String id, Instant time) {
		TurnRecord turn = this.turns.get(id);
		Instant current = this.expiryTimes.get(id);
		if (turn != null && current != null && current.isBefore(time)) {
			this.expiryTimes.put(id, time);
			extendAncestors(turn, time);
		}
	}

	/**
	 * Returns the budget of a program, creating it if necessary, and extends its
	 * retention.
	 * @param program identifier of the program
	 * @param now current time
	 * @param retention how long the budget is retained from now on
	 * @return the budget
	 */
	public ProgramBudget getOrCreateBudget(String program, Instant now, Duration retention) {
		ProgramBudget budget = this.budgets.computeIfAbsent(program, (key) -> new ProgramBudget(now));
		budget.extendRetention(now.plus(retention));
		return budget;
	}

	/**
	 * Retains the chains that open turns continue as long as the budgets of their
	 * programs. Must be called once all turns and budgets are restored.
	 */
	public void retainOpenChains() {
		for (ProgramBudget budget : this.budgets.values()) {
			for (ProgramBudget.Reservation open : budget.reservations().values()) {
				if (open.parent() != null) {
					retainChain(open.parent(), budget.retainedUntil());
				}
			}
		}
	}

	public void restoreBudget(String program, ProgramBudget budget) {
		this.budgets.put(program, budget);
	}

	public @Nullable ProgramBudget findBudget(String program) {
		return this.budgets.get(program);
	}

	/**
	 * Removes turns and budgets whose retention has ended.
	 * @param now current time
	 * @param margin additional retention that allows for clock differences between VMs
	 * @return identifiers of the removed entries
	 */
	public Expired expire(Instant now, Duration margin) {
		Instant limit = now.minus(margin);
		List<String> expiredTurns = new ArrayList<>();
		List<String> expiredPrograms = new ArrayList<>();
		Iterator<Map.Entry<String, Instant>> turnIterator = this.expiryTimes.entrySet().iterator();
		while (turnIterator.hasNext()) {
			Map.Entry<String, Instant> entry = turnIterator.next();
			if (entry.getValue().isBefore(limit)) {
				turnIterator.remove();
				if (this.turns.remove(entry.getKey()) != null) {
					expiredTurns.add(entry.getKey());
				}
			}
		}
		Iterator<Map.Entry<String, ProgramBudget>> budgetIterator = this.budgets.entrySet().iterator();
		while (budgetIterator.hasNext()) {
			Map.Entry<String, ProgramBudget> entry = budgetIterator.next();
			if (entry.getValue().retainedUntil().isBefore(limit)) {
				budgetIterator.remove();
				expiredPrograms.add(entry.getKey());
			}
		}
		return new Expired(expiredTurns, expiredPrograms);
	}

	public boolean contains(String turn) {
		return this.turns.containsKey(turn);
	}

	public Collection<TurnRecord> turns() {
		return List.copyOf(this.turns.values());
	}

	public Map<String, ProgramBudget> budgets() {
		return Map.copyOf(this.budgets);
	}

	public int turnCount() {
		return this.turns.size();
	}

	/**
	 * Entries removed from a shard.
	 *
	 * @param turns identifiers of the removed turns
	 * @param programs identifiers of the programs whose budget was removed
	 */
	public record Expired(List<String> turns, List<String> programs) {

	}

}

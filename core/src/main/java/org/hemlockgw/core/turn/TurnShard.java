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
 * Turns and budgets of the programs of one shard. Not thread-safe.
 */
public final class TurnShard {

	private final Map<String, TurnRecord> turns = new HashMap<>();

	private final Map<String, Instant> expiry = new HashMap<>();

	private final Map<String, ProgramBudget> budgets = new HashMap<>();

	/**
	 * Returns a turn and all that it continues, the oldest first.
	 * @param id the newest turn
	 * @return the chain, or null if a part of it is not here
	 */
	public @Nullable List<TurnRecord> findChain(String id) {
		Deque<TurnRecord> chain = new ArrayDeque<>();
		Set<String> seen = new HashSet<>();
		String next = id;
		while (next != null) {
			TurnRecord turn = this.turns.get(next);
			if (turn == null || !seen.add(next)) {
				return null;
			}
			chain.addFirst(turn);
			next = turn.parent();
		}
		return List.copyOf(chain);
	}

	/**
	 * Adds a turn. All turns that it continues are kept as long as it is, in whatever
	 * order they are added.
	 * @param turn the turn
	 */
	public void add(TurnRecord turn) {
		this.turns.put(turn.id(), turn);
		Instant until = turn.expiresAt();
		Instant known = this.expiry.get(turn.id());
		if (known != null && known.isAfter(until)) {
			until = known;
		}
		this.expiry.put(turn.id(), until);
		extendAncestors(turn, until);
	}

	private void extendAncestors(TurnRecord turn, Instant until) {
		TurnRecord next = turn;
		while (next != null) {
			String parent = next.parent();
			Instant known = (parent != null) ? this.expiry.get(parent) : null;
			if (parent == null || (known != null && !known.isBefore(until))) {
				return;
			}
			this.expiry.put(parent, until);
			next = this.turns.get(parent);
		}
	}

	/**
	 * Returns the budget of a program, a new one if it has none.
	 * @param program the program
	 * @param now time of day
	 * @param retention how long the budget is kept after its last use
	 * @return the budget
	 */
	public ProgramBudget getOrCreateBudget(String program, Instant now, Duration retention) {
		ProgramBudget budget = this.budgets.computeIfAbsent(program, (key) -> new ProgramBudget(now));
		budget.extendRetention(now.plus(retention));
		return budget;
	}

	public void restoreBudget(String program, ProgramBudget budget) {
		this.budgets.put(program, budget);
	}

	public @Nullable ProgramBudget findBudget(String program) {
		return this.budgets.get(program);
	}

	/**
	 * Forgets turns and budgets that are kept no longer.
	 * @param now time of day
	 * @param margin extra time, since clocks of VMs differ
	 * @return what was forgotten
	 */
	public Expired expire(Instant now, Duration margin) {
		Instant limit = now.minus(margin);
		List<String> goneTurns = new ArrayList<>();
		List<String> gonePrograms = new ArrayList<>();
		Iterator<Map.Entry<String, Instant>> turnsLeft = this.expiry.entrySet().iterator();
		while (turnsLeft.hasNext()) {
			Map.Entry<String, Instant> entry = turnsLeft.next();
			if (entry.getValue().isBefore(limit)) {
				turnsLeft.remove();
				if (this.turns.remove(entry.getKey()) != null) {
					goneTurns.add(entry.getKey());
				}
			}
		}
		Iterator<Map.Entry<String, ProgramBudget>> budgetsLeft = this.budgets.entrySet().iterator();
		while (budgetsLeft.hasNext()) {
			Map.Entry<String, ProgramBudget> entry = budgetsLeft.next();
			if (entry.getValue().retainedUntil().isBefore(limit)) {
				budgetsLeft.remove();
				gonePrograms.add(entry.getKey());
			}
		}
		return new Expired(goneTurns, gonePrograms);
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
	 * What a shard has forgotten.
	 *
	 * @param turns identifiers of turns
	 * @param programs programs whose budget was forgotten
	 */
	public record Expired(List<String> turns, List<String> programs) {

	}

}

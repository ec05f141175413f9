package org.hemlockgw.core.turn;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tokens that the turns of one program have generated and may still generate.
 */
public final class ProgramBudget {

	private final Map<String, Integer> open;

	private final Set<String> settled = new HashSet<>();

	private long spent;

	private Instant keptUntil;

	public ProgramBudget(Instant keptUntil) {
		this(0, Map.of(), keptUntil);
	}

	public ProgramBudget(long spent, Map<String, Integer> open, Instant keptUntil) {
		this.spent = spent;
		this.open = new HashMap<>(open);
		this.keptUntil = keptUntil;
	}

	/**
	 * Reserves the most that a turn can generate.
	 * @param turn identifier of the turn
	 * @param limit budget of the program
	 * @param most largest number of tokens of the turn
	 * @return false if the budget does not hold the turn; nothing is reserved then
	 */
	public boolean reserve(String turn, long limit, int most) {
		if (this.open.containsKey(turn)) {
			return true;
		}
		if (this.spent + reserved() + most > limit) {
			return false;
		}
		this.open.put(turn, most);
		this.settled.remove(turn);
		return true;
	}

	/**
	 * Replaces a reservation by what was used. A turn without a reservation is charged in
	 * full, because its reservation may have been lost with an earlier owner. A turn that
	 * is settled again, since the answer to its end was lost, is not charged again.
	 * @param turn identifier of the turn
	 * @param used tokens handed to the caller
	 */
	public void settle(String turn, int used) {
		this.open.remove(turn);
		if (this.settled.add(turn)) {
			this.spent += used;
		}
	}

	public void extendRetention(Instant time) {
		if (time.isAfter(this.keptUntil)) {
			this.keptUntil = time;
		}
	}

	public long spent() {
		return this.spent;
	}

	public long reserved() {
		long sum = 0;
		for (int most : this.open.values()) {
			sum += most;
		}
		return sum;
	}

	public Map<String, Integer> reservations() {
		return Map.copyOf(this.open);
	}

	public Instant retainedUntil() {
		return this.keptUntil;
	}

}

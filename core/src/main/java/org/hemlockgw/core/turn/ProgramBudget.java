package org.hemlockgw.core.turn;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Token budget of one program: spent tokens and the reservations of its open turns.
 */
public final class ProgramBudget {

	private final Map<String, Reservation> reservations;

	private final Set<String> settledTurns = new HashSet<>();

	private long spent;

	private Instant retainedUntil;

	/**
	 * Creates an unused budget.
	 * @param retainedUntil time until which the budget is retained
	 */
	public ProgramBudget(Instant retainedUntil) {
		this(0, Map.of(), retainedUntil);
	}

	/**
	 * Restores a budget.
	 * @param spent tokens spent by settled turns
	 * @param reservations reservations by turn identifier
	 * @param retainedUntil time until which the budget is retained
	 */
	public ProgramBudget(long spent, Map<String, Reservation> reservations, Instant retainedUntil) {
		this.spent = spent;
		this.reservations = new HashMap<>(reservations);
		this.retainedUntil = retainedUntil;
	}

	/**
	 * Reserves the maximum number of tokens that a turn can generate. Has no effect if
	 * the turn already has a reservation.
	 * @param turn identifier of the turn
	 * @param limit budget of the program in tokens
	 * @param reservation what to reserve
	 * @return false if the remaining budget is too small; nothing is reserved in that
	 * case
	 */
	public boolean reserve(String turn, long limit, Reservation reservation) {
		if (this.reservations.containsKey(turn)) {
			return true;
		}
		if (this.spent + reserved() + reservation.maxTokens() > limit) {
			return false;
		}
		this.reservations.put(turn, reservation);
		this.settledTurns.remove(turn);
		return true;
	}

	/**
	 * Replaces the reservation of a turn with its actual usage. A turn without a
	 * reservation is charged in full, because the reservation may have been lost with an
	 * earlier owner. A turn that is already settled is not charged again; a caller
	 * repeats the call if the response to the first one was lost.
	 * @param turn identifier of the turn
	 * @param used number of tokens delivered to the caller
	 */
	public void settle(String turn, int used) {
		this.reservations.remove(turn);
		if (this.settledTurns.add(turn)) {
			this.spent += used;
		}
	}

	/**
	 * Returns whether a turn of the program has been opened or has spent tokens.
	 * @return false for a new program
	 */
	public boolean isUsed() {
		return this.spent > 0 || !this.reservations.isEmpty();
	}

	/**
	 * Extends the retention of this budget; never shortens it.
	 * @param time time until which the budget is to be retained
	 */
	public void extendRetention(Instant time) {
		if (time.isAfter(this.retainedUntil)) {
			this.retainedUntil = time;
		}
	}

	public long spent() {
		return this.spent;
	}

	public long reserved() {
		long sum = 0;
		for (Reservation reservation : this.reservations.values()) {
			sum += reservation.maxTokens();
		}
		return sum;
	}

	public Map<String, Reservation> reservations() {
		return Map.copyOf(this.reservations);
	}

	public Instant retainedUntil() {
		return this.retainedUntil;
	}

	/**
	 * Reservation of an open turn.
	 *
	 * @param maxTokens maximum number of tokens that the turn generates
	 * @param parent identifier of the turn that it continues; null if it starts a chain
	 */
	public record Reservation(int maxTokens, @Nullable String parent) {

	}

}

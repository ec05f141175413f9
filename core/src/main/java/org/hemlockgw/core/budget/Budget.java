package org.hemlockgw.core.budget;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Budget of one program. All amounts are tokens.
 *
 * @param limit the whole budget
 * @param granted cumulative grant in the ledger; a successor counts it as spent
 * @param settled settled spending, budgets of live children included
 * @param reserved upper bounds of calls in flight
 */
public record Budget(long limit, long granted, long settled, long reserved) {

	/**
	 * Smallest amount that a grant is renewed by, so that small programs do not write a
	 * grant for each call.
	 */
	private static final long MIN_AHEAD = 4096;

	/**
	 * A grant covers at least this many further calls of the size of those in flight, so
	 * that a program can go on during a log outage.
	 */
	private static final long CALLS_AHEAD = 4;

	/** A grant also covers this fraction of the budget: 1/16. */
	private static final long BUDGET_FRACTION = 16;

	/**
	 * Creates the budget of a new program with its first grant.
	 * @param limit the whole budget
	 * @return the budget
	 */
	public static Budget open(long limit) {
		return new Budget(limit, 0, 0, 0).renew();
	}

	public long committed() {
		return this.settled + this.reserved;
	}

	public long remaining() {
		return Math.max(0, this.limit - committed());
	}

	/**
	 * Reserves the upper bound of a call and renews the grant when needed.
	 * @param upperBound most tokens that the call can use
	 * @return the new budget
	 * @throws CallFailure if the remaining budget does not cover the upper bound
	 */
	public Budget reserve(long upperBound) {
		require(upperBound, "the call's upper bound");
		return new Budget(this.limit, this.granted, this.settled, this.reserved + upperBound).renew();
	}

	/**
	 * Replaces a reservation by what was used.
	 * @param reservation the reserved amount
	 * @param used tokens used; the whole reservation when the outcome is unknown
	 * @return the new budget
	 */
	public Budget settle(long reservation, long used) {
		return new Budget(this.limit, this.granted, this.settled + used, this.reserved - reservation).renew();
	}

	/**
	 * Takes a child's budget out of this one.
	 * @param childBudget the child's whole budget
	 * @return the new budget, with a grant that covers it
	 * @throws CallFailure if the remaining budget does not cover it
	 */
	public Budget allocateToChild(long childBudget) {
		require(childBudget, "the child's budget");
		return new Budget(this.limit, this.granted, this.settled + childBudget, this.reserved).renew();
	}

	/**
	 * Returns unspent budget of an ended child. The grant shrinks with it, because a
	 * successor would otherwise count the returned part as spent.
	 * @param tokens unspent tokens
	 * @return the new budget
	 */
	public Budget refundFromChild(long tokens) {
		long left = Math.max(0, this.settled - tokens);
		long target = Math.min(this.limit, left + this.reserved + ahead());
		return new Budget(this.limit, Math.min(this.granted, target), left, this.reserved);
	}

	private void require(long tokens, String what) {
		if (tokens < 0 || tokens > remaining()) {
			throw CallFailure.notRun(ErrorCode.BUDGET_EXHAUSTED, what + " is " + tokens + " tokens; allowed are 0 to "
					+ remaining() + ", the remaining part of the budget of " + this.limit);
		}
	}

	// Renews at half of the amount ahead, so that the new grant is durable before the old
	// one is used up.
	private Budget renew() {
		if (this.granted >= this.limit || this.granted - committed() >= ahead() / 2) {
			return this;
		}
		long next = Math.max(this.granted, Math.min(this.limit, committed() + ahead()));
		return new Budget(this.limit, next, this.settled, this.reserved);
	}

	private long ahead() {
		return Math.max(MIN_AHEAD, Math.max(this.limit / BUDGET_FRACTION, CALLS_AHEAD * this.reserved));
	}

}

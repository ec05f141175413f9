package org.hemlockgw.core.budget;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Token budget of one program. All amounts are in tokens.
 *
 * @param limit total budget
 * @param granted cumulative grant recorded in the ledger; a new owner counts all of it as
 * spent
 * @param settled settled usage, including the budgets of running child programs
 * @param reserved sum of the upper bounds of the calls in flight
 */
public record Budget(long limit, long granted, long settled, long reserved) {

	/**
	 * Minimum margin between a renewed grant and the committed tokens. It avoids a ledger
	 * record for each call of a small program.
	 */
	private static final long MIN_GRANT_MARGIN_TOKENS = 4096;

	/**
	 * Number of further calls, each as large as the calls in flight together, that the
	 * margin of a grant covers at least. It allows a program to continue during a ledger
	 * outage.
	 */
	private static final long GRANT_MARGIN_CALLS = 4;

	/**
	 * Divisor of the total budget that gives another minimum of the margin: 1/16 of the
	 * budget.
	 */
	private static final long GRANT_MARGIN_DIVISOR = 16;

	/**
	 * Creates the budget of a new program with its first grant.
	 * @param limit total budget
	 * @return the budget
	 */
	public static Budget open(long limit) {
		return new Budget(limit, 0, 0, 0).renewGrant();
	}

	public long committed() {
		return this.settled + this.reserved;
	}

	public long remaining() {
		return Math.max(0, this.limit - committed());
	}

	/**
	 * Reserves the upper bound of a call and renews the grant if necessary.
	 * @param upperBound maximum number of tokens that the call can use
	 * @return the new budget
	 * @throws CallFailure if the remaining budget is smaller than the upper bound
	 */
	public Budget reserve(long upperBound) {
		requireRemaining(upperBound, "the call's upper bound");
		return new Budget(this.limit, this.granted, this.settled, this.reserved + upperBound).renewGrant();
	}

	/**
	 * Replaces the reservation of a call with its actual usage.
	 * @param reservation the reserved amount
	 * @param used number of tokens used; the whole reservation if the outcome is unknown
	 * @return the new budget
	 */
	public Budget settle(long reservation, long used) {
		return new Budget(this.limit, this.granted, this.settled + used, this.reserved - reservation).renewGrant();
	}

	/**
	 * Allocates a part of this budget to a child program.
	 * @param childBudget total budget of the child
	 * @return the new budget, with a grant that covers the allocation
	 * @throws CallFailure if the remaining budget is smaller than the allocation
	 */
	public Budget allocateToChild(long childBudget) {
		requireRemaining(childBudget, "the child's budget");
		return new Budget(this.limit, this.granted, this.settled + childBudget, this.reserved).renewGrant();
	}

	/**
	 * Returns the unspent budget of an ended child program to this budget. The grant is
	 * lowered accordingly, because a new owner would otherwise count the refund as spent.
	 * @param tokens number of unspent tokens
	 * @return the new budget
	 */
	public Budget refundFromChild(long tokens) {
		long newSettled = Math.max(0, this.settled - tokens);
		long maxGrant = Math.min(this.limit, newSettled + this.reserved + grantMargin());
		return new Budget(this.limit, Math.min(this.granted, maxGrant), newSettled, this.reserved);
	}

	private void requireRemaining(long tokens, String description) {
		if (tokens < 0 || tokens > remaining()) {
			throw CallFailure.notRun(ErrorCode.BUDGET_EXHAUSTED,
					description + " is " + tokens + " tokens; allowed are 0 to " + remaining()
							+ ", the remaining part of the budget of " + this.limit);
		}
	}

	// Renews the grant once half of the margin is used, so that the new grant is durable
	// before the old one is exhausted.
	private Budget renewGrant() {
		if (this.granted >= this.limit || this.granted - committed() >= grantMargin() / 2) {
			return this;
		}
		long newGrant = Math.max(this.granted, Math.min(this.limit, committed() + grantMargin()));
		return new Budget(this.limit, newGrant, this.settled, this.reserved);
	}

	private long grantMargin() {
		return Math.max(MIN_GRANT_MARGIN_TOKENS,
				Math.max(this.limit / GRANT_MARGIN_DIVISOR, GRANT_MARGIN_CALLS * this.reserved));
	}

}

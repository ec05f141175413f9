package org.hemlockgw.core.budget;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;

import static com.google.common.truth.Truth.assertThat;

class BudgetTests {

	// Guards against spending more than the budget or more than the grant that a new
	// owner
	// reads.
	@Property(seed = "41", tries = 300)
	void committedTokensStayWithinGrantAndLimit(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 200_000) int limit) {
		Random random = new Random(seed);
		Budget budget = Budget.open(limit);
		Deque<Long> reservations = new ArrayDeque<>();
		long childTokens = 0;
		for (int i = 0; i < 60; i++) {
			long amount = random.nextInt(limit / 4 + 2);
			try {
				switch (random.nextInt(4)) {
					case 0 -> {
						budget = budget.reserve(amount);
						reservations.add(amount);
					}
					case 1 -> {
						Long reserved = reservations.poll();
						budget = (reserved != null)
								? budget.settle(reserved, random.nextBoolean() ? reserved : reserved / 2) : budget;
					}
					case 2 -> {
						budget = budget.allocateToChild(amount);
						childTokens += amount;
					}
					default -> {
						long refund = (long) (childTokens * random.nextDouble());
						budget = budget.refundFromChild(refund);
						childTokens -= refund;
					}
				}
			}
			catch (CallFailure ex) {
				assertThat(ex.code()).isEqualTo(ErrorCode.BUDGET_EXHAUSTED);
				assertThat(ex.verdict()).isEqualTo(Verdict.NOT_RUN);
				assertThat(amount).isGreaterThan(budget.remaining());
			}
			assertThat(budget.committed()).isAtMost(budget.granted());
			assertThat(budget.granted()).isAtMost(limit);
			assertThat(budget.settled()).isAtLeast(childTokens);
		}
	}

	// Guards against spending from a grant that a new owner may find missing or lowered
	// in
	// the ledger.
	@Example
	void pendingDecreaseLimitsDurableGrant() {
		GrantTracker grants = new GrantTracker(0);
		long raise = grants.addPending(100);
		assertThat(grants.covers(50)).isFalse();
		grants.markDurable(raise);
		assertThat(grants.covers(100)).isTrue();
		long lower = grants.addPending(60);
		long again = grants.addPending(90);
		assertThat(grants.covers(90)).isFalse();
		grants.markDurable(lower);
		assertThat(grants.covers(60)).isTrue();
		assertThat(grants.covers(90)).isFalse();
		grants.markDurable(again);
		assertThat(grants.covers(90)).isTrue();
	}

}

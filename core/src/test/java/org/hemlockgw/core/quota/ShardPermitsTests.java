package org.hemlockgw.core.quota;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.statistics.Statistics;

import org.hemlockgw.core.account.RateLimit;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of {@link ShardPermits} with several daemons.
 */
class ShardPermitsTests {

	// Guards against more requests in a window than the cap allows, in histories of
	// frozen, suspended and restarted daemons, cuts, take-overs with and without state,
	// lost and late messages, returned permits and changed caps.
	@Property(tries = 400, seed = "7310584416")
	void noWindowExceedsCap(@ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long seed,
			@ForAll @IntRange(min = 1, max = 40) int rate, @ForAll @IntRange(min = 0, max = 60) int burst) {
		RateLimitSimulation simulation = new RateLimitSimulation(seed, 4, new RateLimit(rate, burst));
		simulation.startFloods(4 * rate + 2 * burst + 40);
		simulation.run(60_000);
		assertWithMessage("seed %s", seed).that(simulation.findViolation()).isNull();
		Statistics.label("handovers").collect(simulation.handoverCount() > 0);
		Statistics.label("unconfirmed").collect(simulation.unconfirmedRunCount() > 0);
		Statistics.label("peak").collect((int) (simulation.peakUse() * 20) / 20.0);
	}

	// Guards against two daemons with authority when a shard moves on, or there and back,
	// in generations that none of them sees.
	@Property(tries = 300, seed = "7310584418")
	void noWindowExceedsCapWithSkippedGenerations(@ForAll @LongRange(min = 0, max = Long.MAX_VALUE) long seed,
			@ForAll @IntRange(min = 1, max = 40) int rate, @ForAll @IntRange(min = 0, max = 60) int burst) {
		RateLimitSimulation simulation = new RateLimitSimulation(seed, 3, new RateLimit(rate, burst));
		simulation.startReassignments();
		simulation.startFloods(4 * rate + 2 * burst + 40);
		simulation.run(60_000);
		assertWithMessage("seed %s", seed).that(simulation.findViolation()).isNull();
		Statistics.label("peak").collect((int) (simulation.peakUse() * 20) / 20.0);
	}

	// Guards against a waiting daemon that starts although the shard was assigned back to
	// its holder between two of its joins, again and again.
	@Example
	void waitingDaemonDoesNotStartBesideContinuingHolder() {
		long[] nowMs = { 0 };
		ShardPermits first = permits(nowMs);
		ShardPermits second = permits(nowMs);
		first.confirm(1, reading(0));
		nowMs[0] = 1000;
		first.confirm(1, reading(1000));
		for (long generation = 2; generation < 40; generation += 2) {
			nowMs[0] += 300;
			second.confirm(generation, reading(nowMs[0]));
			first.confirm(generation + 1, reading(nowMs[0]));
			assertThat(first.state()).isEqualTo(HolderState.CONFIRMED);
			assertThat(second.state()).isEqualTo(HolderState.WAITING);
		}
	}

	// Guards against a start by a join that was sent before the wait ended: a join of the
	// previous holder may have been answered after it.
	@Example
	void onlyJoinAfterWaitStartsDaemonWithoutState() {
		long[] nowMs = { 0 };
		ShardPermits permits = permits(nowMs);
		assertThat(permits.confirm(1, reading(0))).isTrue();
		nowMs[0] = 1400;
		assertThat(permits.confirm(1, reading(999))).isFalse();
		assertThat(permits.state()).isEqualTo(HolderState.WAITING);
		permits.confirm(1, reading(1000));
		assertThat(permits.state()).isEqualTo(HolderState.CONFIRMED);
		permits.previousEnded(1, 1, -2_000_000_000);
		assertThat(permits.decide(new PermitRequest("acme", 0, false)).status())
			.isEqualTo(PermitDecision.Status.GRANTED);
	}

	// Guards against a handover that is refused because of generations that the previous
	// holder did not see, and against one whose confirmation is too old.
	@Example
	void stateIsHandedOverAcrossSkippedGenerations() {
		for (long ageMs : new long[] { 999, 1000 }) {
			long[] nowMs = { 0 };
			ShardPermits permits = permits(nowMs);
			permits.confirm(1, reading(0));
			nowMs[0] = 1000;
			permits.confirm(1, reading(1000));
			nowMs[0] += ageMs;
			assertThat(permits.handOver(9) != null).isEqualTo(ageMs < 1000);
			assertThat(permits.state()).isEqualTo(HolderState.NOT_HOLDER);
			assertThat(permits.handOver(10)).isNull();
		}
	}

	private static ShardPermits permits(long[] nowMs) {
		return new ShardPermits(() -> reading(nowMs[0]), (account) -> new RateLimit(20, 20),
				RateLimitSimulation.BOUNDS);
	}

	private static ClockReading reading(long ms) {
		return new ClockReading(ms * 1_000_000, ms);
	}

	// Guards against refusals of an account below its cap while other daemons are
	// restarted, so that each join of its holder skips generations.
	@Example
	void rollingRestartsOfOthersRefuseNothing() {
		RateLimitSimulation simulation = new RateLimitSimulation(3, 82, new RateLimit(28, 25));
		simulation.withoutFaults();
		simulation.run(20_000);
		simulation.startRollingRestarts();
		simulation.startSteadyCallers(40);
		simulation.run(80_000);
		assertThat(simulation.askedCount()).isAtLeast(1000);
		assertThat(simulation.deniedCount()).isEqualTo(0);
	}

	// Guards against shares whose sum is more than the tolerated excess.
	@Property(tries = 1000, seed = "7310584417")
	void sharesAddUpToAllowedNumber(@ForAll @DoubleRange(min = 0.01, max = 5000) double rate,
			@ForAll @DoubleRange(min = 0, max = 5000) double burst) {
		RateLimit cap = new RateLimit(rate, burst);
		RateLimitShares shares = RateLimitShares.of(cap, RateLimitSimulation.BOUNDS);
		double sum = shares.capacity() + shares.rate() * shares.windowSeconds() + shares.returns() + shares.start()
				+ shares.unconfirmed();
		assertThat(sum).isWithin(1e-6).of((rate * 5 + burst) * 1.1 + 20);
		assertThat(shares.start()).isAtLeast(0.0);
	}

	// Guards against refusals of an account that stays below its cap while its holder is
	// lost once in half an hour. Refusals of the second without holder count as well.
	@Example
	void steadyAccountIsRarelyRefusedWhenHolderIsLost() {
		for (int intervalMs : new int[] { 10, 40, 250 }) {
			RateLimitSimulation simulation = new RateLimitSimulation(intervalMs, 82,
					new RateLimit(1000.0 / intervalMs / 0.9, 1000.0 / intervalMs));
			simulation.withoutFaults();
			simulation.run(20_000);
			simulation.startSteadyCallers(intervalMs);
			simulation.killHolderAt(900_000);
			simulation.run(1_820_000);
			assertWithMessage("refused of %s every %s ms", simulation.askedCount(), intervalMs)
				.that(simulation.deniedCount() * 1000)
				.isLessThan(simulation.askedCount());
		}
	}

	// Guards against an initial level that each of several new holders grants within one
	// window, and against returns that are credited without a limit: neither may use the
	// shares that are reserved for other failures.
	@Example
	void successiveTakeOversShareOneInitialLevel() {
		RateLimit cap = new RateLimit(20, 20);
		RateLimitShares shares = RateLimitShares.of(cap, RateLimitSimulation.BOUNDS);
		long[] nowMs = { 0 };
		int grants = 0;
		for (int generation = 1; generation <= 5; generation++) {
			ShardPermits holder = new ShardPermits(() -> new ClockReading(nowMs[0] * 1_000_000, nowMs[0]),
					(account) -> cap, RateLimitSimulation.BOUNDS);
			assertThat(holder.confirm(generation, new ClockReading(nowMs[0] * 1_000_000, nowMs[0]))).isTrue();
			holder.previousEnded(generation, generation - 1, nowMs[0] * 1_000_000 - ShardPermits.AUTHORITY_NANOS);
			for (long endMs = nowMs[0] + 1000; nowMs[0] < endMs; nowMs[0] += 5) {
				PermitDecision decision = holder.decide(new PermitRequest("acme", 0, false));
				grants += (decision.permit() != 0) ? 1 : 0;
			}
		}
		double withoutState = shares.rate() * shares.windowSeconds() + shares.start();
		assertThat((double) grants).isAtMost(withoutState);
		assertThat((double) grants).isGreaterThan(withoutState - 10);
	}

	// Guards against returns that are credited without a limit: permits that were granted
	// long ago would allow as many requests at once.
	@Example
	void creditsForReturnsAreLimited() {
		RateLimit cap = new RateLimit(100, 100);
		RateLimitShares shares = RateLimitShares.of(cap, RateLimitSimulation.BOUNDS);
		AccountPermits account = new AccountPermits(cap, RateLimitSimulation.BOUNDS, 0);
		account.refill(100_000_000_000L, 100);
		PermitRequest request = new PermitRequest("acme", 0, false);
		long granted = 0;
		while (account.decide(request, granted + 1).permit() != 0) {
			granted++;
		}
		int credited = 0;
		for (long permit = 1; permit <= granted; permit++) {
			credited += account.giveBack(permit) ? 1 : 0;
		}
		assertThat(credited).isAtLeast(1);
		assertThat((double) credited).isAtMost(shares.returns() / 2);
		assertThat(account.giveBack(1)).isFalse();
	}

	// Guards against new programs that are admitted while running programs use up the
	// cap, and against an account below its cap whose new programs are refused.
	@Example
	void runningProgramsTakePrecedenceOnlyUnderPressure() {
		RateLimit cap = new RateLimit(10, 10);
		AccountPermits account = new AccountPermits(cap, RateLimitSimulation.BOUNDS, 0);
		long nanos = 20_000_000_000L;
		int program = 1;
		for (; program <= 90; program++, nanos += 112_000_000) {
			account.refill(nanos, 20);
			assertThat(account.decide(new PermitRequest("acme", 1 + program / 10, program % 10 == 0), program).status())
				.isEqualTo(PermitDecision.Status.GRANTED);
		}
		PermitDecision refused = PermitDecision.NOT_READY;
		for (int i = 0; i < 60 && refused.status() != PermitDecision.Status.PROGRAM_DENIED; i++) {
			refused = account.decide(new PermitRequest("acme", 100 + i, true), 100 + i);
		}
		assertThat(refused.status()).isEqualTo(PermitDecision.Status.PROGRAM_DENIED);
		assertThat(account.decide(new PermitRequest("acme", 100, true), 500).status())
			.isEqualTo(PermitDecision.Status.GRANTED);
		assertThat(account.decide(new PermitRequest("acme", 900, true), 501).retryAfterMs())
			.isGreaterThan(refused.retryAfterMs());
	}

	// Guards against a Retry-After at which a new program is denied again, and against
	// one that tells callers to return at once.
	@Example
	void deniedProgramIsGrantedAtItsRetryAfter() {
		AccountPermits account = new AccountPermits(new RateLimit(10, 10), RateLimitSimulation.BOUNDS, 0);
		long nanos = 20_000_000_000L;
		account.refill(nanos, 20);
		PermitDecision refused = PermitDecision.NOT_READY;
		for (int i = 1; refused.status() != PermitDecision.Status.PROGRAM_DENIED && i < 100; i++) {
			nanos += 50_000_000;
			account.refill(nanos, 20);
			refused = account.decide(new PermitRequest("acme", i, true), i);
		}
		assertThat(refused.status()).isEqualTo(PermitDecision.Status.PROGRAM_DENIED);
		assertThat(refused.retryAfterMs()).isAtLeast(100);
		account.refill(nanos + refused.retryAfterMs() * 1_000_000, 20);
		assertThat(account.decide(new PermitRequest("acme", 500, true), 500).status())
			.isEqualTo(PermitDecision.Status.GRANTED);
	}

	// Guards against a flood that books places without end, so that later callers are
	// told to return long after the bucket has recovered.
	@Example
	void placesOfFloodAreBounded() {
		AccountPermits account = new AccountPermits(new RateLimit(10, 10), RateLimitSimulation.BOUNDS, 0);
		PermitDecision last = PermitDecision.NOT_READY;
		account.refill(20_000_000_000L, 20);
		for (int i = 1; i < 1000; i++) {
			last = account.decide(new PermitRequest("acme", 0, false), i);
		}
		assertThat(last.status()).isEqualTo(PermitDecision.Status.DENIED);
		assertThat(last.retryAfterMs()).isAtMost(5200);
		account.refill(40_000_000_000L, 20);
		for (int i = 1001; i < 1100 && (last.permit() != 0 || i == 1001); i++) {
			last = account.decide(new PermitRequest("acme", 0, false), i);
		}
		assertThat(last.status()).isEqualTo(PermitDecision.Status.DENIED);
		assertThat(last.retryAfterMs()).isAtMost(200);
	}

}

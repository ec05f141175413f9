package org.hemlockgw.core.quota;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.statistics.Statistics;

import org.hemlockgw.core.account.UsageCap;

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
		CapSimulation simulation = new CapSimulation(seed, 4, new UsageCap(rate, burst));
		simulation.startFloods(4 * rate + 2 * burst + 40);
		simulation.run(60_000);
		assertWithMessage("seed %s", seed).that(simulation.findViolation()).isNull();
		Statistics.label("handovers").collect(simulation.handoverCount() > 0);
		Statistics.label("unconfirmed").collect(simulation.unconfirmedRunCount() > 0);
		Statistics.label("peak").collect((int) (simulation.peakUse() * 20) / 20.0);
	}

	// Guards against shares whose sum is more than the tolerated excess.
	@Property(tries = 1000, seed = "7310584417")
	void sharesAddUpToAllowedNumber(@ForAll @DoubleRange(min = 0.01, max = 5000) double rate,
			@ForAll @DoubleRange(min = 0, max = 5000) double burst) {
		UsageCap cap = new UsageCap(rate, burst);
		CapShares shares = CapShares.of(cap, CapSimulation.BOUNDS);
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
			CapSimulation simulation = new CapSimulation(intervalMs, 82,
					new UsageCap(1000.0 / intervalMs / 0.9, 1000.0 / intervalMs));
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

}

package org.hemlockgw.core.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.config.Policy;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.ledger.AppendRateShare;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against fast engines that remain unused, engines that receive more requests than
 * their limit, and admission of new programs while all engines are full.
 */
class EngineSchedulingTests {

	@Example
	void unobservedEngineIsPreferredToSlowEngine() {
		EngineSpeed slow = EngineSpeed.INITIAL.observe(4_000, Duration.ofSeconds(1), 100, Duration.ofSeconds(1), 1);
		assertThat(cost(load(slow, 0, 0), 1_000, 0)).isGreaterThan(cost(load(EngineSpeed.INITIAL, 0, 0), 1_000, 0));
	}

	@Property(seed = "51", tries = 200)
	void estimatedSpeedFollowsChangeWithinTenRequests(@ForAll @IntRange(min = 2, max = 8) int factor) {
		EngineSpeed speed = EngineSpeed.INITIAL;
		for (int i = 0; i < 20; i++) {
			speed = speed.observe(8_000, Duration.ofSeconds(1), 100, Duration.ofSeconds(1), 1);
		}
		for (int i = 0; i < 10; i++) {
			speed = speed.observe(8_000, Duration.ofSeconds(factor), 100, Duration.ofSeconds(factor), 1);
		}
		assertThat(speed.prefillTokensPerSecond()).isWithin(1_000).of(8_000.0 / factor);
	}

	@Property(seed = "52", tries = 200)
	void limitStaysWithinBoundsAndDecreasesOnSlowTokens(@ForAll @IntRange(min = 1, max = 64) int max,
			@ForAll List<@IntRange(min = 1, max = 200) Integer> intervalsMs) {
		InFlightLimit limit = InFlightLimit.initial(max);
		for (int ms : intervalsMs) {
			InFlightLimit next = limit.observe(Duration.ofMillis(ms), limit.limit());
			assertThat(next.limit()).isAtLeast(1);
			assertThat(next.limit()).isAtMost(max);
			if (ms > 39) {
				assertThat(next.value()).isAtMost(limit.value());
			}
			limit = next;
		}
	}

	@Example
	void cacheFirstMovesProgramLaterThanLatencyFirst() {
		EngineLoad busy = load(new EngineSpeed(1_000, 1_000, 1), 0, 4_000);
		EngineLoad idle = load(new EngineSpeed(1_000, 1_000, 1), 0, 0);
		double stayCost = CompletionEstimate.costSeconds(Policy.CACHE_FIRST, busy, 0, 2_500, 2_000, 2_000);
		double moveCost = CompletionEstimate.costSeconds(Policy.CACHE_FIRST, idle, 0, 2_500, 0, 2_000);
		assertThat(stayCost).isLessThan(moveCost);
		stayCost = CompletionEstimate.costSeconds(Policy.LATENCY_FIRST, busy, 0, 2_500, 2_000, 2_000);
		moveCost = CompletionEstimate.costSeconds(Policy.LATENCY_FIRST, idle, 0, 2_500, 0, 2_000);
		assertThat(moveCost).isLessThan(stayCost);
	}

	@Example
	void newProgramsAreRejectedOnlyIfAllEnginesAreFull() {
		EngineLoad full = load(EngineSpeed.INITIAL, 8, 0);
		EngineLoad free = load(EngineSpeed.INITIAL, 0, 0);
		assertThat(ProgramAdmission.retryAfter(List.of(full, free)).isEmpty()).isTrue();
		assertThat(ProgramAdmission.retryAfter(List.of(full, full)).isPresent()).isTrue();
		assertThat(ProgramAdmission.retryAfter(List.of()).isEmpty()).isTrue();
	}

	private static double cost(EngineLoad load, long prompt, long cached) {
		return CompletionEstimate.costSeconds(Policy.LATENCY_FIRST, load, 0, prompt, cached, cached);
	}

	private static EngineLoad load(EngineSpeed speed, int queued, long queuedTokens) {
		return new EngineLoad("e", queued, 0, 8, queuedTokens, speed.prefillTokensPerSecond(),
				speed.decodeTokensPerSecond(), Instant.EPOCH);
	}

	@Example
	void appendsOfAllDaemonsStayWithinLedgerRate() {
		for (int daemons : new int[] { 1, 9, 13, 350 }) {
			Duration interval = AppendRateShare.minInterval(Duration.ofMillis(5), daemons);
			double appends = daemons / (interval.toNanos() / 1e9);
			assertThat(appends).isAtMost(AppendRateShare.LEDGER_APPENDS_PER_SECOND + 0.01);
		}
	}

}

package org.hemlockgw.core.retry;

import java.time.Duration;
import java.time.Instant;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;

import static com.google.common.truth.Truth.assertThat;

class RetryTests {

	private static final Instant NOW = Instant.ofEpochSecond(1_000_000);

	// Guards against repeating a non-idempotent request that may have run.
	@Property(seed = "43", tries = 200)
	void nonIdempotentRetriesNeedNotRun(@ForAll ErrorCode code, @ForAll Verdict verdict) {
		CallFailure failure = new CallFailure(code, verdict, "x");
		boolean retryable = RetryRules.isRetryable(failure, false);
		assertThat(retryable && verdict != Verdict.NOT_RUN).isFalse();
	}

	// Guards against retries that amplify an overload.
	@Property(seed = "44", tries = 100)
	void retriesStayWithinATenthOfFirstAttempts(@ForAll @IntRange(max = 5000) int attempts) {
		RetryBudget budget = new RetryBudget();
		int saved = 0;
		while (budget.tryAcquire()) {
			saved++;
		}
		int allowed = 0;
		for (int i = 0; i < attempts; i++) {
			budget.recordFirstAttempt();
			allowed += budget.tryAcquire() ? 1 : 0;
		}
		assertThat(allowed).isEqualTo(attempts / 10);
		assertThat(saved).isEqualTo(100);
	}

	// Guards against delays that grow without bound.
	@Property(seed = "45", tries = 100)
	void backoffStaysWithinItsBounds(@ForAll @IntRange(min = 1, max = 200) int retry,
			@ForAll @DoubleRange(min = 0, max = 0.99) double random) {
		Duration delay = Backoff.DEFAULT.delay(retry, random);
		assertThat(delay).isAtMost(Duration.ofSeconds(1));
		assertThat(delay.isNegative()).isFalse();
		assertThat(Backoff.DEFAULT.delay(1, random)).isAtMost(Duration.ofMillis(20));
	}

	// Guards against quarantine after one death that two callers report, and against
	// missing the second death.
	@Example
	void secondDeathQuarantinesForAnHour() {
		CrashHistory suspects = new CrashHistory();
		assertThat(suspects.recordCrash("d", "e1", NOW, NOW.plusSeconds(1))).isFalse();
		assertThat(suspects.recordCrash("d", "e1", NOW, NOW.plusSeconds(2))).isFalse();
		assertThat(suspects.isSuspect("d", NOW.plusSeconds(2))).isTrue();
		assertThat(suspects.isQuarantined("d", NOW.plusSeconds(2))).isFalse();
		assertThat(suspects.recordCrash("other", "e2", NOW, NOW.plusSeconds(2))).isFalse();
		assertThat(suspects.recordCrash("d", "e2", NOW.plusSeconds(2), NOW.plusSeconds(3))).isTrue();
		assertThat(suspects.isQuarantined("d", NOW.plusSeconds(3600))).isTrue();
		assertThat(suspects.isQuarantined("d", NOW.plusSeconds(3604))).isFalse();
	}

	// Guards against a limit that is not kept when all deaths are of one engine.
	@ParameterizedTest
	@CsvSource({ "1, 1, true", "2, 1, false", "3, 2, false", "3, 3, true" })
	void deathsOfUnknownStartAllCount(int limit, int deaths, boolean quarantined) {
		CrashHistory suspects = new CrashHistory(limit);
		assertThat(suspects.isEmpty()).isTrue();
		for (int i = 0; i < deaths; i++) {
			suspects.recordCrash("d", "e1", NOW);
		}
		assertThat(suspects.isEmpty()).isFalse();
		assertThat(suspects.isQuarantined("d", NOW)).isEqualTo(quarantined);
	}

}

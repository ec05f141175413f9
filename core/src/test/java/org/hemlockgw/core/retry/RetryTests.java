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
	void nonIdempotentRequestIsRetriedOnlyIfNotRun(@ForAll ErrorCode code, @ForAll Verdict verdict) {
		CallFailure failure = new CallFailure(code, verdict, "x");
		boolean retryable = RetryRules.isRetryable(failure, false);
		assertThat(retryable && verdict != Verdict.NOT_RUN).isFalse();
	}

	// Guards against retries that amplify an overload.
	@Property(seed = "44", tries = 100)
	void retriesAreLimitedToTenthOfFirstAttempts(@ForAll @IntRange(max = 5000) int attempts) {
		RetryBudget budget = new RetryBudget();
		int initialRetries = 0;
		while (budget.tryAcquire()) {
			initialRetries++;
		}
		int allowed = 0;
		for (int i = 0; i < attempts; i++) {
			budget.recordFirstAttempt();
			allowed += budget.tryAcquire() ? 1 : 0;
		}
		assertThat(allowed).isEqualTo(attempts / 10);
		assertThat(initialRetries).isEqualTo(100);
	}

	// Guards against delays that grow without bound.
	@Property(seed = "45", tries = 100)
	void backoffStaysWithinBounds(@ForAll @IntRange(min = 1, max = 200) int retry,
			@ForAll @DoubleRange(min = 0, max = 0.99) double random) {
		Duration delay = Backoff.DEFAULT.delay(retry, random);
		assertThat(delay).isAtMost(Duration.ofSeconds(1));
		assertThat(delay.isNegative()).isFalse();
		assertThat(Backoff.DEFAULT.delay(1, random)).isAtMost(Duration.ofMillis(20));
	}

	// Guards against a quarantine after a single crash that is reported by two callers,
	// and against ignoring the second crash.
	@Example
	void secondCrashQuarantinesForOneHour() {
		CrashHistory crashes = new CrashHistory();
		assertThat(crashes.recordCrash("d", "e1", NOW, NOW.plusSeconds(1))).isFalse();
		assertThat(crashes.recordCrash("d", "e1", NOW, NOW.plusSeconds(2))).isFalse();
		assertThat(crashes.isSuspect("d", NOW.plusSeconds(2))).isTrue();
		assertThat(crashes.isQuarantined("d", NOW.plusSeconds(2))).isFalse();
		assertThat(crashes.recordCrash("other", "e2", NOW, NOW.plusSeconds(2))).isFalse();
		assertThat(crashes.recordCrash("d", "e2", NOW.plusSeconds(2), NOW.plusSeconds(3))).isTrue();
		assertThat(crashes.isQuarantined("d", NOW.plusSeconds(3600))).isTrue();
		assertThat(crashes.isQuarantined("d", NOW.plusSeconds(3604))).isFalse();
	}

	// Guards against ignoring the configured threshold if all crashes occur on the same
	// engine.
	@ParameterizedTest
	@CsvSource({ "1, 1, true", "2, 1, false", "3, 2, false", "3, 3, true" })
	void reportedCrashesAllCount(int threshold, int crashCount, boolean quarantined) {
		CrashHistory crashes = new CrashHistory(threshold);
		assertThat(crashes.isEmpty()).isTrue();
		for (int i = 0; i < crashCount; i++) {
			assertThat(crashes.recordCrash(crashAt(i), NOW)).isTrue();
		}
		assertThat(crashes.isEmpty()).isFalse();
		assertThat(crashes.isQuarantined("d", NOW)).isEqualTo(quarantined);
		assertThat(crashes.reports("d")).hasSize(crashCount);
	}

	// Guards against a crash that counts again because it is reported by a message and by
	// a stored record, and against crashes that are lost because reports are out of
	// order.
	@ParameterizedTest
	@CsvSource({ "0, 0, 1, false", "0, 1, 1, false", "0, 1, 2, true", "2, 1, 0, true", "2, 0, 2, false" })
	void repeatedReportsCountOnce(int first, int second, int third, boolean quarantined) {
		CrashHistory crashes = new CrashHistory(3);
		Instant now = NOW.plusSeconds(1);
		crashes.recordCrash(crashAt(first), now);
		crashes.recordCrash(crashAt(second), now);
		crashes.recordCrash(crashAt(third), now);
		assertThat(crashes.recordCrash(crashAt(first), now)).isFalse();
		assertThat(crashes.isQuarantined("d", now)).isEqualTo(quarantined);
	}

	// Guards against one crash that counts several times because the same content was at
	// the same engine for several callers.
	@ParameterizedTest
	@CsvSource({ "e1, 5, e1, 5, 300, false", "e1, 5, e1, 6, 300, true", "e1, 5, e2, 5, 300, true",
			"e1, 5, e1, 5, 2000, true" })
	void oneCrashOfProcessCountsOnce(String firstEngine, long firstStart, String secondEngine, long secondStart,
			long laterMs, boolean quarantined) {
		CrashHistory crashes = new CrashHistory(2);
		Instant now = NOW.plusSeconds(5);
		crashes.recordCrash(new CrashReport("d", firstEngine, firstStart, NOW), now);
		crashes.recordCrash(new CrashReport("d", secondEngine, secondStart, NOW.plusMillis(laterMs)), now);
		assertThat(crashes.isQuarantined("d", now)).isEqualTo(quarantined);
	}

	// Guards against content that is quarantined although engines process it.
	@ParameterizedTest
	@CsvSource({ "1, false", "2, false", "3, true", "4, true" })
	void processedContentIsNotQuarantined(int laterCrashes, boolean quarantined) {
		CrashHistory crashes = new CrashHistory(3);
		Instant now = NOW.plusSeconds(1);
		for (int i = 0; i < 3; i++) {
			crashes.recordCrash(crashAt(i), now);
		}
		assertThat(crashes.recordSuccess("other")).isEmpty();
		assertThat(crashes.recordSuccess("d")).containsExactly(crashAt(0), crashAt(1), crashAt(2));
		assertThat(crashes.isDiscarded(crashAt(0))).isTrue();
		assertThat(crashes.isQuarantined("d", now)).isFalse();
		for (int i = 0; i < 3; i++) {
			assertThat(crashes.recordCrash(crashAt(i), now)).isFalse();
		}
		for (int i = 0; i < laterCrashes; i++) {
			crashes.recordCrash(crashAt(100 + i), now);
		}
		assertThat(crashes.isQuarantined("d", now)).isEqualTo(quarantined);
	}

	// Guards against a quarantine that never ends because a report is from the future.
	@ParameterizedTest
	@CsvSource({ "0", "3000000" })
	void quarantineOfReportedCrashesEnds(long aheadMs) {
		CrashHistory crashes = new CrashHistory(1);
		crashes.recordCrash(crashAt(aheadMs), NOW);
		assertThat(crashes.isQuarantined("d", NOW.plus(CrashHistory.QUARANTINE_DURATION))).isTrue();
		assertThat(crashes.isQuarantined("d", NOW.plus(CrashHistory.QUARANTINE_DURATION).plusMillis(1))).isFalse();
	}

	private static CrashReport crashAt(long offsetMs) {
		return new CrashReport("d", "e1", 0, NOW.plusMillis(offsetMs));
	}

}

package org.hemlockgw.core.pool;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link WaitBasedAdmission}.
 */
class WaitBasedAdmissionTests {

	private static final double REQUEST_DURATION_MS = 100;

	private long nowMs = 1000;

	private final WaitBasedAdmission admission = new WaitBasedAdmission(() -> this.nowMs * 1_000_000);

	// Guards against new programs in an overloaded pool, against refusals because of a
	// single slow request, and against refusals after the overload has ended.
	@ParameterizedTest
	@CsvSource({ "0, 2000, 0, true", "100, 2000, 0, false", "20, 2000, 0, true", "1000, 5, 0, true",
			"100, 2000, 300, false", "100, 2000, 1500, true" })
	void isOpenUnlessRequestsWaitOnAverage(double waitMs, long durationMs, long idleMs, boolean open) {
		for (long elapsed = 0; elapsed < durationMs; elapsed += 5) {
			this.nowMs += 5;
			this.admission.recordWait(waitMs);
		}
		this.nowMs += idleMs;
		assertThat(this.admission.isOpen(REQUEST_DURATION_MS)).isEqualTo(open);
	}

	// Guards against refused programs that all return at the same moment.
	@Test
	void refusedProgramsReturnAtDifferentTimes() {
		long distinct = IntStream.range(0, 100)
			.mapToLong((i) -> this.admission.retryAfterMs("request-" + i * 7919))
			.distinct()
			.count();
		assertThat(distinct).isAtLeast(50);
	}

}

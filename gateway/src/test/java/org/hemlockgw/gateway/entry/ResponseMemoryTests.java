package org.hemlockgw.gateway.entry;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ResponseMemory}.
 */
class ResponseMemoryTests {

	private static final int KIB = 1024;

	private final ResponseMemory memory = new ResponseMemory(1000 * KIB, 1500 * KIB);

	// Guards against a response that takes all memory, and against small responses that
	// fail because of large ones.
	@ParameterizedTest
	@CsvSource({ "0, 0, 1000, true", "0, 0, 1001, false", "0, 990, 11, false", "900, 0, 600, true",
			"900, 0, 601, false", "1500, 0, 64, true", "1500, 0, 65, false", "1500, 60, 5, false" })
	void reservesWithinBothLimits(int othersKib, int responseKib, int partKib, boolean expected) {
		assertThat(this.memory.reserve(0, Math.min(othersKib, 1000) * KIB)).isTrue();
		assertThat(this.memory.reserve(0, Math.max(0, othersKib - 1000) * KIB)).isTrue();
		assertThat(this.memory.reserve((long) responseKib * KIB, partKib * KIB)).isEqualTo(expected);
	}

	// Guards against memory that is lost when a part of a response is refused.
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void releasedMemoryIsReservedAgain(boolean refused) {
		assertThat(this.memory.reserve(0, 900 * KIB)).isTrue();
		assertThat(this.memory.reserve(0, 600 * KIB)).isTrue();
		if (refused) {
			assertThat(this.memory.reserve(900 * KIB, KIB)).isFalse();
		}
		this.memory.release(900 * KIB);
		assertThat(this.memory.reserve(0, 900 * KIB)).isTrue();
		assertThat(this.memory.reserve(900 * KIB, KIB)).isFalse();
	}

}

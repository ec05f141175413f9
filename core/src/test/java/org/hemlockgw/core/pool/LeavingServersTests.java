package org.hemlockgw.core.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link LeavingServers}.
 */
class LeavingServersTests {

	private final LeavingServers leaving = new LeavingServers();

	// Guards against a leaving server that is used again because the list shows it as
	// ready, and against a new process that is not used because it has the same
	// identifier.
	@ParameterizedTest
	@CsvSource({ "a, 5, a, 5, true", "a, 5, a, 6, false", "a, 0, a, 6, true", "a, 5, a, 0, true", "a, 5, b, 5, false" })
	void statementHoldsForOneProcess(String server, long startedAtMs, String listed, long listedStartMs,
			boolean draining) {
		assertThat(this.leaving.add(server, startedAtMs)).isTrue();
		assertThat(this.leaving.add(server, startedAtMs)).isFalse();
		PoolMember member = new PoolMember(listed, "p", "127.0.0.1:1", "a", 1, false, listedStartMs);
		assertThat(this.leaving.apply(List.of(member)).get(0).draining()).isEqualTo(draining);
	}

	// Guards against a set that grows with each server that has ever left.
	@Test
	void oldestServersAreForgotten() {
		for (int i = 0; i <= LeavingServers.MAX_SERVERS; i++) {
			this.leaving.add("s" + i, 1);
		}
		assertThat(this.leaving.contains("s0", 1)).isFalse();
		assertThat(this.leaving.contains("s1", 1)).isTrue();
		assertThat(this.leaving.contains("s" + LeavingServers.MAX_SERVERS, 1)).isTrue();
	}

}

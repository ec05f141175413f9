package org.hemlockgw.core.pool;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RouteProfile}.
 */
class RouteProfileTests {

	private static final long MS = 1_000_000;

	// Guards against a route that stays closed after an outage of its tools, because no
	// program is left whose pauses would show that they have recovered.
	@ParameterizedTest
	@CsvSource({ "5, 0, true", "0, 0, false", "5, 20000, false" })
	void slowToolsCloseRouteOnlyWhileProgramsShowIt(int active, long idleMs, boolean slowed) {
		RouteProfile profile = new RouteProfile();
		profile.changeActivePrograms(active);
		for (int i = 0; i < 20; i++) {
			profile.recordObjective(1000);
			profile.recordTurn(50);
			profile.recordPause(50, 0);
			profile.recordContinuation(4, false);
		}
		for (int i = 0; i < 20; i++) {
			profile.recordPause(4000, 0);
		}
		assertThat(profile.isSlowedByPauses(idleMs * MS)).isEqualTo(slowed);
	}

}

package org.hemlockgw.core.pool;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ProgramsUnderWay}.
 */
class ProgramsUnderWayTests {

	private static final long MS = 1_000_000;

	private static final SlotRequest TURN = new SlotRequest("r1", "d1", "a", "", "chat", "p1", 0, true, Long.MAX_VALUE,
			250, 3000, List.of(), 0, Set.of(), Set.of());

	private final ProgramsUnderWay programs = new ProgramsUnderWay();

	// Guards against programs that count as ended while their turn waits for a slot, so
	// that an overloaded pool admits more of them.
	@Test
	void waitingTurnKeepsDemand() {
		this.programs.recordGrant(TURN, 0);
		this.programs.recordRelease(TURN, 10, 10 * MS);
		this.programs.recordArrival(TURN, 20 * MS);
		this.programs.recordQueued(TURN, 20 * MS);
		this.programs.expire(10_000 * MS);
		assertThat(this.programs.demand()).isGreaterThan(0.0);
	}

	// Guards against first turns that count only when granted, and against the demand of
	// those that were refused.
	@Test
	void queuedFirstTurnCountsUntilItIsRefused() {
		this.programs.recordQueued(TURN, 0);
		assertThat(this.programs.demand()).isGreaterThan(0.0);
		this.programs.recordDequeued(TURN, 10 * MS);
		assertThat(this.programs.demand()).isEqualTo(0.0);
		assertThat(this.programs.accountCount()).isEqualTo(0);
	}

	// Guards against failed attempts that count as turns, and against their retries that
	// count as pauses.
	@Test
	void failedAttemptIsNoTurn() {
		this.programs.recordGrant(TURN, 0);
		this.programs.recordRelease(TURN, -1, 10 * MS);
		this.programs.recordArrival(TURN, 50 * MS);
		assertThat(this.programs.turnsDone(TURN)).isEqualTo(0);
		assertThat(this.programs.profile("chat").pauseMs()).isEqualTo(0.0);
	}

	// Guards against refused requests that return and record a longer pause each time.
	@Test
	void pauseEndsOnce() {
		this.programs.recordGrant(TURN, 0);
		this.programs.recordRelease(TURN, 10, 10 * MS);
		this.programs.recordArrival(TURN, 50 * MS);
		this.programs.recordArrival(TURN, 1000 * MS);
		assertThat(this.programs.profile("chat").pauseMs()).isEqualTo(40.0);
	}

}

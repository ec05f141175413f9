package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ReturnSchedule}.
 */
class ReturnScheduleTests {

	private final ReturnSchedule schedule = new ReturnSchedule();

	// Guards against refused programs that return at once or in another order, against
	// times that callers do not honour, and against accounts that wait for each other.
	// Programs beyond the limit must not all return at the same moment.
	@Test
	void programsReturnInOrderWithinThirdOfTheirTime() {
		List<Long> delays = new ArrayList<>();
		for (int i = 0; i < 40; i++) {
			delays.add(this.schedule.retryAfterMs(request("a", "p" + i, 3000), 100, 0));
		}
		assertThat(delays.subList(0, 10)).containsExactly(100L, 200L, 300L, 400L, 500L, 600L, 700L, 800L, 900L, 1000L)
			.inOrder();
		List<Long> beyond = delays.subList(10, 40);
		assertThat(Collections.min(beyond)).isAtLeast(500);
		assertThat(Collections.max(beyond)).isAtMost(1000);
		assertThat(Set.copyOf(beyond).size()).isAtLeast(15);
		assertThat(this.schedule.count("a", 0)).isEqualTo(10);
		assertThat(this.schedule.retryAfterMs(request("b", "p0", 3000), 100, 0)).isEqualTo(100);
	}

	// Guards against places that are kept for programs that do not return.
	@Test
	void placeIsRemovedWhenProgramReturnsOrIsOverdue() {
		this.schedule.retryAfterMs(request("a", "p1", 3000), 100, 0);
		this.schedule.retryAfterMs(request("a", "p2", 3000), 100, 0);
		this.schedule.remove(request("a", "p1", 3000));
		assertThat(this.schedule.count("a", 0)).isEqualTo(1);
		this.schedule.expire(301 * 1_000_000L);
		assertThat(this.schedule.count("a", 0)).isEqualTo(0);
	}

	private static SlotRequest request(String account, String program, long remainingMs) {
		return new SlotRequest(program + "-0", "d1", account, "", "chat", program, 0, false, Long.MAX_VALUE, 250,
				remainingMs, List.of(), 0, Set.of(), Set.of());
	}

}

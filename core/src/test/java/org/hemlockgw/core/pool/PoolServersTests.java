package org.hemlockgw.core.pool;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PoolServers}.
 */
class PoolServersTests {

	// Guards against an overflow of the sum, which looks like a pool without free slots.
	@ParameterizedTest
	@ValueSource(ints = { 8, 1 << 30, Integer.MAX_VALUE })
	void idleServersHaveSpareSlots(int slots) {
		PoolServers servers = new PoolServers();
		servers.update(List.of(member("s1", slots), member("s2", slots), member("s3", slots), member("s4", slots)));
		assertThat((double) servers.slotCount()).isEqualTo(4.0 * slots);
		assertThat(servers.hasSpareSlots()).isTrue();
	}

	private static PoolMember member(String id, int slots) {
		return new PoolMember(id, "p", "10.0.0.1:80", "a", slots, false, 0);
	}

}

package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link WithdrawnServers}.
 */
class WithdrawnServersTests {

	private final WithdrawnServers withdrawn = new WithdrawnServers();

	// Each word is a list of servers: "s" lists the server as ready, "d" as draining, and
	// "-" does not list it.
	@ParameterizedTest
	@CsvSource({ "-, false", "s, false", "d, true", "s d, true", "s -, true", "s - s, false", "s d -, true",
			"s d s, false", "s - -, true" })
	void serverIsWithdrawnWhenDrainingOrRemoved(String lists, boolean expected) {
		for (char list : lists.replace(" ", "").toCharArray()) {
			this.withdrawn.update((list == '-') ? List.of() : List.of(member("a", list == 'd')));
		}
		assertThat(this.withdrawn.contains("a")).isEqualTo(expected);
	}

	// Guards against a set that grows with each server that was ever removed.
	@Test
	void oldestRemovalsAreForgotten() {
		List<PoolMember> members = new ArrayList<>();
		for (int i = 0; i <= WithdrawnServers.MAX_REMOVED; i++) {
			members.add(member("s" + i, false));
			this.withdrawn.update(List.of(member("s" + i, false)));
		}
		this.withdrawn.update(List.of());
		long remembered = members.stream().filter((member) -> this.withdrawn.contains(member.id())).count();
		assertThat(remembered).isEqualTo(WithdrawnServers.MAX_REMOVED);
		assertThat(this.withdrawn.contains("s0")).isFalse();
	}

	private static PoolMember member(String id, boolean draining) {
		return new PoolMember(id, "p", "127.0.0.1:1", "a", 1, draining, 0);
	}

}

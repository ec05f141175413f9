package org.hemlockgw.core.route;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RoutingTable} and {@link Route}.
 */
class RoutingTableTests {

	private static final RoutingTable TABLE = new RoutingTable(3, List.of(route("short", "a.example", "/x/"),
			route("long", "A.example", "/x/y/"), route("other", "b.example", "/x/")), Map.of(), CallerLimits.DEFAULT);

	// Guards against the first prefix that matches, and against hosts that are compared
	// with case or port.
	@ParameterizedTest
	@CsvSource({ "a.example, /x/1, short", "a.example, /x/y/1, long", "a.example:80, /x/y/1, long",
			"B.EXAMPLE, /x/y/1, other", "a.example, /x, none", "a.example, /xy/, none", "c.example, /x/1, none" })
	// Guards against selecting the first matching prefix instead of the longest one, and
	// against a host comparison that includes case or port.
	void longestPrefixOfHostWins(String host, String path, String expected) {
		Route match = TABLE.match(host, path);
		assertThat((match != null) ? match.name() : "none").isEqualTo(expected);
	}

	// Guards against sending all requests of a split route to one pool.
	@Test
	void selectsPoolsByWeight() {
		Route route = new Route("r", "h", "/", RequestKind.ONCE, Duration.ofSeconds(1), Duration.ofSeconds(1), 0,
				List.of(new PoolShare("a", 90), new PoolShare("b", 10)), 1, null, false, false);
		Map<String, Integer> counts = new HashMap<>();
		for (int hash = 0; hash < 1000; hash++) {
			counts.merge(route.selectPool(hash * 31 - 500), 1, Integer::sum);
		}
		assertThat(counts.get("a")).isAtLeast(850);
		assertThat(counts.get("b")).isAtLeast(50);
	}

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, RequestKind.REPEATABLE, Duration.ofSeconds(1), Duration.ofSeconds(1), 0,
				List.of(new PoolShare("p", 1)), 1, null, false, false);
	}

}

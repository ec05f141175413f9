package org.hemlockgw.gateway.entry;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counters and sums by name, written as text. Confined to the event loop.
 */
public final class Metrics {

	private final Map<String, Long> counters = new TreeMap<>();

	public void count(String name) {
		add(name, 1);
	}

	public void add(String name, long amount) {
		this.counters.merge(name, amount, Long::sum);
	}

	/**
	 * Returns all counters.
	 * @return a line each: name, space, value
	 */
	public String text() {
		StringBuilder lines = new StringBuilder();
		this.counters.forEach((name,
				value) -> lines.append("hemlockgw_").append(name).append(' ').append(value.longValue()).append('\n'));
		return lines.toString();
	}

}

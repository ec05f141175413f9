package org.hemlockgw.daemon.owner;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Counts the programs under way by client account on this daemon. Other daemons' programs
 * are not known here, so an account's limit holds for each daemon by itself.
 */
final class AccountPrograms {

	private final Map<String, Integer> counts = new ConcurrentHashMap<>();

	boolean tryAdd(String account, int max) {
		boolean[] added = new boolean[1];
		this.counts.compute(account, (name, count) -> {
			int before = (count != null) ? count : 0;
			added[0] = before < max;
			if (!added[0]) {
				return before;
			}
			return before + 1;
		});
		return added[0];
	}

	void add(String account) {
		this.counts.merge(account, 1, Integer::sum);
	}

	void remove(String account) {
		this.counts.computeIfPresent(account, (name, count) -> (count > 1) ? count - 1 : null);
	}

}

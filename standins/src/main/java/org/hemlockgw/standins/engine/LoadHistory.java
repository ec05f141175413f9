package org.hemlockgw.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

import org.hemlockgw.core.platform.EngineLoadReport;

/**
 * Load reports of the recent past, because the engine publishes an old one.
 */
final class LoadHistory {

	private static final int MAX_REPORTS = 20_000;

	private static final long NS_PER_MS = 1_000_000;

	/** Spacing of the reports kept, which limits them to 200 s of history. */
	private static final long SPACING_NS = 10 * NS_PER_MS;

	private final Deque<Stamped> reports = new ArrayDeque<>();

	private final EngineLoadReport idle;

	LoadHistory(long cacheCapacityTokens) {
		this.idle = new EngineLoadReport(0, 0, 0, cacheCapacityTokens);
	}

	synchronized void add(EngineLoadReport report, long nowNs) {
		Stamped last = this.reports.peekLast();
		if (last != null && last.report().equals(report)) {
			return;
		}
		if (last != null && nowNs - last.atNs() < SPACING_NS) {
			this.reports.removeLast();
			this.reports.add(new Stamped(last.atNs(), report));
			return;
		}
		this.reports.add(new Stamped(nowNs, report));
		if (this.reports.size() > MAX_REPORTS) {
			this.reports.removeFirst();
		}
	}

	synchronized EngineLoadReport read(long nowNs, long lagMs) {
		Iterator<Stamped> latestFirst = this.reports.descendingIterator();
		while (latestFirst.hasNext()) {
			Stamped s = latestFirst.next();
			if (s.atNs() + lagMs * NS_PER_MS <= nowNs) {
				return s.report();
			}
		}
		return this.idle;
	}

	private record Stamped(long atNs, EngineLoadReport report) {
	}

}

package org.hemlockgw.standins.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.hemlockgw.core.platform.CacheEvents;

/**
 * Cache events, published late and with gaps.
 */
final class CacheEventFeed {

	private static final int MAX_EVENTS = 10_000;

	private static final long NS_PER_MS = 1_000_000;

	private final Deque<Stamped> events = new ArrayDeque<>();

	private long next;

	synchronized void add(CacheChange change, long nowNs, int gapEvery) {
		long sequence = this.next++;
		boolean dropped = gapEvery > 0 && (sequence + 1) % gapEvery == 0;
		this.events
			.add(new Stamped(nowNs, dropped, new CacheEvents.Event(sequence, change.session(), change.tokens())));
		if (this.events.size() > MAX_EVENTS) {
			this.events.removeFirst();
		}
	}

	synchronized CacheEvents read(long from, long nowNs, long delayMs) {
		List<CacheEvents.Event> visible = new ArrayList<>();
		long position = from;
		for (Stamped s : this.events) {
			if (s.atNs() + delayMs * NS_PER_MS > nowNs) {
				break;
			}
			if (s.event().sequence() < from) {
				continue;
			}
			position = s.event().sequence() + 1;
			if (!s.dropped()) {
				visible.add(s.event());
			}
		}
		return new CacheEvents(position, visible);
	}

	private record Stamped(long atNs, boolean dropped, CacheEvents.Event event) {
	}

}

package org.hemlockgw.daemon.sim;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Events on one thread in simulated time, so that a seed fixes every interleaving.
 */
public final class Simulation implements InstantSource {

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::order));

	private long now;

	private long order;

	public void after(long nanos, Runnable action) {
		this.events.add(new Event(this.now + Math.max(0, nanos), this.order++, action));
	}

	public void runFor(Duration time) {
		runUntil(() -> false, time);
	}

	/**
	 * Runs events until a condition holds.
	 * @param condition checked after each event
	 * @param bound longest simulated time
	 * @return whether the condition held
	 */
	public boolean runUntil(BooleanSupplier condition, Duration bound) {
		long end = this.now + bound.toNanos();
		while (!condition.getAsBoolean()) {
			Event next = this.events.peek();
			if (next == null || next.at > end) {
				this.now = end;
				return false;
			}
			this.events.remove();
			this.now = next.at;
			next.action.run();
		}
		return true;
	}

	@Override
	public Instant instant() {
		return START.plusNanos(this.now);
	}

	private record Event(long at, long order, Runnable action) {
	}

}

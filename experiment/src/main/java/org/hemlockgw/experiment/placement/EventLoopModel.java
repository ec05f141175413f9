package org.hemlockgw.experiment.placement;

import java.util.PriorityQueue;

/**
 * Virtual time: runs actions in the order of their time.
 */
final class EventLoopModel {

	private static final double NANOS_PER_MS = 1_000_000;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private double nowMs;

	private long sequence;

	double nowMs() {
		return this.nowMs;
	}

	long nowNanos() {
		return (long) (this.nowMs * NANOS_PER_MS);
	}

	void schedule(double atMs, Runnable action) {
		this.events.add(new Event(atMs, ++this.sequence, action));
	}

	/**
	 * Runs all actions up to a time.
	 * @param endMs the time in milliseconds
	 */
	void runUntil(double endMs) {
		Event next = this.events.peek();
		while (next != null && next.atMs() <= endMs) {
			this.events.remove();
			this.nowMs = next.atMs();
			next.action().run();
			next = this.events.peek();
		}
	}

	private record Event(double atMs, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Double.compare(this.atMs, other.atMs);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}

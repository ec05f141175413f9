package org.hemlockgw.gateway.entry;

import java.util.function.LongSupplier;

import org.hemlockgw.core.pool.ResponseTiming;

/**
 * Measures the time to the first event of a response and the pauses between its events.
 * Starts when it is created.
 */
final class ResponseTimer {

	private static final long NANOS_PER_MICRO = 1000;

	private final LongSupplier nanoClock;

	private final long startedNanos;

	private long firstEventNanos;

	private long lastEventNanos;

	private int firstEvents;

	private int events;

	private boolean paused;

	ResponseTimer(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
		this.startedNanos = nanoClock.getAsLong();
	}

	/**
	 * Records the receipt of a part of the response.
	 * @param eventCount number of complete events so far
	 */
	void received(int eventCount) {
		if (eventCount == this.events) {
			return;
		}
		this.lastEventNanos = this.nanoClock.getAsLong();
		if (this.events == 0) {
			this.firstEventNanos = this.lastEventNanos;
			// Several events that arrive together have no measurable pauses.
			this.firstEvents = eventCount;
		}
		this.events = eventCount;
	}

	/**
	 * Records that reading was paused, so that the pauses between events are those of the
	 * caller.
	 */
	void pause() {
		this.paused = true;
	}

	/**
	 * Returns the timing of a response that is complete.
	 * @param eventCount number of events; 0 for a plain response
	 * @return the timing
	 */
	ResponseTiming timing(int eventCount) {
		if (this.events == 0) {
			return new ResponseTiming(Math.max(1, eventCount), micros(this.nanoClock.getAsLong() - this.startedNanos),
					0);
		}
		int gaps = this.events - this.firstEvents;
		int gapMicros = (this.paused || gaps <= 0) ? 0 : micros((this.lastEventNanos - this.firstEventNanos) / gaps);
		return new ResponseTiming(eventCount, micros(this.firstEventNanos - this.startedNanos), gapMicros);
	}

	private static int micros(long nanos) {
		return (int) Math.min(Integer.MAX_VALUE, Math.max(1, nanos / NANOS_PER_MICRO));
	}

}

package org.hemlockgw.core.pool;

/**
 * Size and timing of a response, as measured by the daemon that received it.
 *
 * @param units number of events of a stream, 1 for a plain response, 0 to leave the
 * estimates unchanged
 * @param firstEventMicros time in microseconds from sending the request to the first
 * event or to the end of a plain response; 0 if unknown
 * @param eventGapMicros mean time in microseconds between two events; 0 if unknown
 */
public record ResponseTiming(int units, int firstEventMicros, int eventGapMicros) {

	/** Excludes a request from the estimates. */
	public static final ResponseTiming NONE = new ResponseTiming(0, 0, 0);

}

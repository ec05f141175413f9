package org.hemlockgw.core.platform;

import java.util.List;

/**
 * Cache events of an engine. They come late, and sequence numbers may have gaps.
 *
 * @param nextSequence sequence number to ask for next
 * @param events the events
 */
public record CacheEvents(long nextSequence, List<Event> events) {

	/**
	 * One change of a cache session.
	 *
	 * @param sequence sequence number
	 * @param session cache session
	 * @param tokens tokens now held; 0 when the session was evicted or released
	 */
	public record Event(long sequence, String session, long tokens) {
	}

}

package org.hemlockgw.core.platform;

import java.util.List;

/**
 * Cache events of an engine. Events may be delayed, and their sequence numbers may have
 * gaps.
 *
 * @param next sequence number from which to request the next events
 * @param events the events
 */
public record CacheEvents(long next, List<Event> events) {

	/**
	 * A change of a cache session.
	 *
	 * @param sequence sequence number
	 * @param session name of the cache session
	 * @param tokens tokens in the cache after the change; 0 if the session was evicted or
	 * released
	 */
	public record Event(long sequence, String session, long tokens) {
	}

}

package org.hemlockgw.standins.engine;

/**
 * Change of a cache session.
 *
 * @param session cache session
 * @param tokens tokens now held; 0 when the session was evicted or released
 */
public record CacheChange(String session, long tokens) {
}

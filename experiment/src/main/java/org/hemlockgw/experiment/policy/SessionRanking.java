package org.hemlockgw.experiment.policy;

import java.time.Duration;
import java.time.Instant;

/**
 * Ranks idle cache sessions when an engine's memory is short; the lowest rank is dropped
 * first.
 */
@FunctionalInterface
interface SessionRanking {

	/**
	 * Returns the rank of a session.
	 * @param session what is known of it
	 * @param now the time
	 * @return the rank; higher is kept longer
	 */
	double rank(IdleSession session, Instant now);

	/**
	 * Least recently used first.
	 * @return the ranking
	 */
	static SessionRanking leastRecentlyUsed() {
		return (session, now) -> -Duration.between(session.lastUse(), now).toMillis();
	}

	/**
	 * Value that doubles per request and halves per interval, after Fan et al.,
	 * "Popularity and gain based caching scheme for information-centric networks", 2017,
	 * section 3.2.2. Returned as its base-2 logarithm, which has the same order and
	 * cannot overflow.
	 * @param interval halving interval
	 * @return the ranking
	 */
	static SessionRanking popularity(Duration interval) {
		return (session, now) -> session.requests()
				- Duration.between(session.lastUse(), now).toMillis() / (double) interval.toMillis();
	}

	/**
	 * An idle cache session.
	 *
	 * @param name session name
	 * @param tokens tokens held
	 * @param requests requests served so far
	 * @param lastUse end of the last request
	 */
	record IdleSession(String name, long tokens, int requests, Instant lastUse) {
	}

}

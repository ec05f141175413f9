package org.hemlockgw.wire;

import java.time.Duration;

/**
 * Time limits of connections between daemons.
 *
 * @param heartbeatInterval time between heartbeats on a connection with open requests
 * @param suspectAfter silence after which new requests take a new connection
 * @param deadline silence after which a connection is closed and its requests fail
 * @param connectTimeout longest time to open a connection
 * @param idleClose a connection without open requests is closed after this time
 */
public record PeerTimings(Duration heartbeatInterval, Duration suspectAfter, Duration deadline, Duration connectTimeout,
		Duration idleClose) {

	/**
	 * Five heartbeats fit into the deadline of 2 s. Two missed ones make a connection
	 * suspect, so that a single silent connection can't get a live daemon reported down.
	 */
	public static final PeerTimings DEFAULT = new PeerTimings(Duration.ofMillis(400), Duration.ofMillis(800),
			Duration.ofSeconds(2), Duration.ofSeconds(1), Duration.ofSeconds(60));

}

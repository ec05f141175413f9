package org.hemlockgw.core.route;

import java.time.Duration;

/**
 * What a caller may send and how long its connection may stay idle.
 *
 * @param maxHeaderBytes largest size of all headers
 * @param maxBodyBytes largest body
 * @param headerTimeout longest time for the headers of a request
 * @param idleTimeout longest time between two requests of a connection
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** Used until a configuration is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}

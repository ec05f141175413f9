package org.hemlockgw.core.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum total size of the headers of a request, in bytes
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeout maximum time to receive the headers of a request
 * @param idleTimeout maximum time between two requests on a connection
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** Limits in effect until a configuration has been loaded. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}

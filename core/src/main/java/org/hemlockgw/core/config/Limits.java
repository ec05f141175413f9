package org.hemlockgw.core.config;

import java.time.Duration;

/**
 * Limits that hold for all programs.
 *
 * @param maxTurns most model calls of a program
 * @param maxDepth deepest level of sub-agents
 * @param maxWallTime longest life of a program
 * @param idleTimeout a program without a call for this long is ended
 * @param modelTimeout longest model call
 * @param serviceTimeout longest service call
 * @param maxQueuedPerEngine requests waiting for one engine before load is shed
 */
public record Limits(int maxTurns, int maxDepth, Duration maxWallTime, Duration idleTimeout, Duration modelTimeout,
		Duration serviceTimeout, int maxQueuedPerEngine) {

	/** Used where the document states no limit. */
	public static final Limits DEFAULT = new Limits(65, 4, Duration.ofHours(12), Duration.ofHours(1),
			Duration.ofMinutes(5), Duration.ofSeconds(60), 256);

}

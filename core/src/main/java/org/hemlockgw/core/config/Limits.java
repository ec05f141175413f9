package org.hemlockgw.core.config;

import java.time.Duration;

/**
 * Limits that apply to all programs.
 *
 * @param maxTurns maximum number of model calls of a program
 * @param maxDepth maximum depth of nested sub-agents
 * @param maxWallTime maximum time from opening to end of a program
 * @param idleTimeout time without a call after which a program is ended
 * @param modelTimeout maximum duration of a model call
 * @param serviceTimeout maximum duration of a service call
 * @param maxQueuedPerEngine maximum number of requests queued for one engine before load
 * is shed
 */
public record Limits(int maxTurns, int maxDepth, Duration maxWallTime, Duration idleTimeout, Duration modelTimeout,
		Duration serviceTimeout, int maxQueuedPerEngine) {

	/** Default limits for keys that the document does not set. */
	public static final Limits DEFAULT = new Limits(65, 4, Duration.ofHours(12), Duration.ofHours(1),
			Duration.ofMinutes(5), Duration.ofSeconds(60), 256);

}

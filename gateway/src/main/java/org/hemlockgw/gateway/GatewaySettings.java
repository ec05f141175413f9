package org.hemlockgw.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.RateLimitBounds;

/**
 * Settings of a gateway daemon.
 *
 * @param name name of the daemon in log lines
 * @param dataCentre data centre in which the daemon runs
 * @param callerAddress listen address for callers
 * @param readinessAddress listen address for readiness checks
 * @param peerAddress listen address for other daemons
 * @param metricsAddress listen address for metrics
 * @param shutdownGrace time between the stop signal and the end of the process
 * @param revocationLimit time after the acknowledgement of a configuration within which
 * keys that it lacks must stop working at every daemon; null if there is no limit
 * @param rateLimitBounds accuracy with which rate limits are enforced
 * @param memoryBytes memory that the process may use, in bytes
 * @param maxDescriptors number of descriptors that the process may open
 */
public record GatewaySettings(String name, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress peerAddress, InetSocketAddress metricsAddress,
		Duration shutdownGrace, @Nullable Duration revocationLimit, RateLimitBounds rateLimitBounds, long memoryBytes,
		int maxDescriptors) {
}

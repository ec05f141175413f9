package org.hemlockgw.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of one daemon.
 *
 * @param name name for logs
 * @param dataCentre where it runs
 * @param callers address for callers
 * @param ready address for readiness checks
 * @param peers address for other daemons
 * @param metrics address for metrics
 * @param grace time between the signal to stop and the end of the process
 */
public record GatewaySettings(String name, String dataCentre, InetSocketAddress callers, InetSocketAddress ready,
		InetSocketAddress peers, InetSocketAddress metrics, Duration grace) {
}

package org.hemlockgw.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;

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
 */
public record GatewaySettings(String name, String dataCentre, InetSocketAddress callerAddress,
		InetSocketAddress readinessAddress, InetSocketAddress peerAddress, InetSocketAddress metricsAddress,
		Duration shutdownGrace) {
}

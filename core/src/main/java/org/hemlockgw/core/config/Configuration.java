package org.hemlockgw.core.config;

import java.util.Map;

import org.hemlockgw.core.common.ImmutableMaps;

/**
 * A validated version of the configuration.
 *
 * @param version version number; 0 for the empty configuration before the first patch
 * @param policy scheduling policy
 * @param limits limits for all programs
 * @param clientAccounts client accounts by name
 * @param dataCentres data centres by name
 * @param backendServers backend servers by name
 */
public record Configuration(long version, Policy policy, Limits limits, Map<String, ClientAccount> clientAccounts,
		Map<String, DataCentre> dataCentres, Map<String, BackendServer> backendServers) {

	/** Configuration before the first patch. */
	public static final Configuration EMPTY = new Configuration(0, Policy.LATENCY_FIRST, Limits.DEFAULT, Map.of(),
			Map.of(), Map.of());

	public Configuration {
		clientAccounts = ImmutableMaps.copyOf(clientAccounts);
		dataCentres = ImmutableMaps.copyOf(dataCentres);
		backendServers = ImmutableMaps.copyOf(backendServers);
	}

}

package org.hemlockgw.core.config;

import java.util.Map;

import org.hemlockgw.core.common.ImmutableMaps;

/**
 * One numbered, checked configuration version.
 *
 * @param version version number; 0 is the empty configuration before the first patch
 * @param policy scheduling policy
 * @param limits limits of all programs
 * @param clientAccounts by name
 * @param dataCentres by name
 * @param backendServers by name
 */
public record Configuration(long version, Policy policy, Limits limits, Map<String, ClientAccount> clientAccounts,
		Map<String, DataCentre> dataCentres, Map<String, BackendServer> backendServers) {

	/** In force before the first patch. */
	public static final Configuration EMPTY = new Configuration(0, Policy.LATENCY_FIRST, Limits.DEFAULT, Map.of(),
			Map.of(), Map.of());

	public Configuration {
		clientAccounts = ImmutableMaps.copyOf(clientAccounts);
		dataCentres = ImmutableMaps.copyOf(dataCentres);
		backendServers = ImmutableMaps.copyOf(backendServers);
	}

}

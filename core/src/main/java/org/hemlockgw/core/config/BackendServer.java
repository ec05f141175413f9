package org.hemlockgw.core.config;

import java.util.Set;

/**
 * A backend server.
 *
 * @param name unique name
 * @param kind model engine or plain service
 * @param address IP address and port
 * @param dataCentre name of its data centre
 * @param models models that an engine serves; empty for a plain service
 * @param checksFencing whether it rejects commands with an outdated fencing token
 * @param leaving whether it is being removed and must get no new work
 * @param maxInFlight maximum number of concurrent requests
 * @param cacheTokens size of an engine's prefix cache, in tokens; 0 for a plain service
 */
public record BackendServer(String name, BackendKind kind, String address, String dataCentre, Set<String> models,
		boolean checksFencing, boolean leaving, int maxInFlight, long cacheTokens) {
}

package org.hemlockgw.core.config;

import java.util.Set;

/**
 * A backend server.
 *
 * @param name unique name
 * @param kind engine or plain service
 * @param address IP number and port
 * @param dataCentre name of its data centre
 * @param models models that an engine serves; empty for a plain service
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param leaving whether it takes no new work
 * @param maxInFlight upper limit of requests at once
 * @param cacheTokens size of an engine's prefix cache; 0 for a plain service
 */
public record BackendServer(String name, BackendKind kind, String address, String dataCentre, Set<String> models,
		boolean checksFencing, boolean leaving, int maxInFlight, long cacheTokens) {
}

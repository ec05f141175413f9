package org.hemlockgw.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.account.AccountDirectory;

/**
 * Immutable routing table of one configuration version. The route with the longest
 * matching path prefix wins.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, Pool> pools;

	private final CallerLimits limits;

	private final @Nullable AccountDirectory accounts;

	/**
	 * Creates a routing table without client accounts.
	 * @param version configuration version
	 * @param routes all routes
	 * @param pools pools by name
	 * @param limits limits for callers
	 */
	public RoutingTable(long version, List<Route> routes, Map<String, Pool> pools, CallerLimits limits) {
		this(version, routes, pools, limits, null);
	}

	/**
	 * Creates a routing table.
	 * @param version configuration version
	 * @param routes all routes
	 * @param pools pools by name
	 * @param limits limits for callers
	 * @param accounts client accounts; null if no keys are checked
	 */
	public RoutingTable(long version, List<Route> routes, Map<String, Pool> pools, CallerLimits limits,
			@Nullable AccountDirectory accounts) {
		this.version = version;
		this.pools = Map.copyOf(pools);
		this.limits = limits;
		this.accounts = accounts;
		routes.forEach((route) -> this.routesByHost
			.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new ArrayList<>())
			.add(route));
		this.routesByHost.values()
			.forEach((hostRoutes) -> hostRoutes
				.sort(Comparator.comparingInt((Route route) -> -route.pathPrefix().length())));
	}

	/**
	 * Returns the route for a request.
	 * @param host value of the host header; matched without regard to case and port
	 * @param path path without the query string
	 * @return the route, or null if none matches
	 */
	public @Nullable Route match(String host, String path) {
		int colon = host.lastIndexOf(':');
		String name = ((colon >= 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		for (Route route : this.routesByHost.getOrDefault(name, List.of())) {
			if (path.startsWith(route.pathPrefix())) {
				return route;
			}
		}
		return null;
	}

	public @Nullable Pool findPool(String name) {
		return this.pools.get(name);
	}

	public long version() {
		return this.version;
	}

	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns the client accounts.
	 * @return the accounts, or null if accounts are disabled
	 */
	public @Nullable AccountDirectory accounts() {
		return this.accounts;
	}

}

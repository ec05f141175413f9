package org.hemlockgw.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Immutable routes of one configuration version. The longest prefix wins.
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<Route>> byHost = new HashMap<>();

	private final Map<String, Pool> pools;

	private final CallerLimits limits;

	public RoutingTable(long version, List<Route> routes, Map<String, Pool> pools, CallerLimits limits) {
		this.version = version;
		this.pools = Map.copyOf(pools);
		this.limits = limits;
		routes.forEach((route) -> this.byHost
			.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new ArrayList<>())
			.add(route));
		this.byHost.values()
			.forEach((list) -> list.sort(Comparator.comparingInt((Route route) -> -route.pathPrefix().length())));
	}

	/**
	 * Finds the route of a request.
	 * @param host value of the host header; a port is ignored
	 * @param path path without query
	 * @return the route, or null if none matches
	 */
	public @Nullable Route match(String host, String path) {
		int colon = host.lastIndexOf(':');
		String name = ((colon >= 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		for (Route route : this.byHost.getOrDefault(name, List.of())) {
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

}

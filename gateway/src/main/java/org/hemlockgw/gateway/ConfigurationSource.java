package org.hemlockgw.gateway;

import java.util.function.Consumer;

import org.hemlockgw.core.route.RoutingTable;

/**
 * Source of versions of the routing configuration.
 */
@FunctionalInterface
public interface ConfigurationSource {

	/**
	 * Starts watching for versions.
	 * @param listener receives the newest version and each later one, on the event loop;
	 * versions may repeat or arrive out of order
	 */
	void watch(Consumer<RoutingTable> listener);

}

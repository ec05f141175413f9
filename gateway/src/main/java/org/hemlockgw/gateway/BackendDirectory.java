package org.hemlockgw.gateway;

import java.util.List;
import java.util.function.Consumer;

import org.hemlockgw.core.pool.PoolMember;

/**
 * Source of the list of backend servers.
 */
@FunctionalInterface
public interface BackendDirectory {

	/**
	 * Starts watching the list.
	 * @param listener receives the complete list after each change, on the event loop
	 */
	void watch(Consumer<List<PoolMember>> listener);

}

package org.hemlockgw.core.limit;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Open connections of one port, at most a fixed number of them.
 */
public final class ConnectionGroup {

	final Set<ClientMemory> members = new LinkedHashSet<>();

	private final int maxConnections;

	/**
	 * Creates a group without connections.
	 * @param maxConnections maximum number of open connections
	 */
	public ConnectionGroup(int maxConnections) {
		this.maxConnections = maxConnections;
	}

	/**
	 * Returns the number of open connections.
	 * @return number of connections
	 */
	public int size() {
		return this.members.size();
	}

	boolean isFull() {
		return this.members.size() >= this.maxConnections;
	}

}

package org.hemlockgw.core.pool;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Servers that are draining or were removed from the list of servers. A server that was
 * never listed does not count as withdrawn, because another daemon may have seen a newer
 * list. Not thread-safe.
 */
public final class WithdrawnServers {

	/** Maximum number of removed servers that are remembered. */
	static final int MAX_REMOVED = 1000;

	private Map<String, PoolMember> listed = Map.of();

	// In the order of their removal.
	private final Set<String> removed = new LinkedHashSet<>();

	/**
	 * Updates the list of servers.
	 * @param members all servers that are listed now
	 */
	public void update(List<PoolMember> members) {
		Map<String, PoolMember> next = new HashMap<>();
		members.forEach((member) -> next.put(member.id(), member));
		this.listed.keySet().stream().filter((id) -> !next.containsKey(id)).forEach(this.removed::add);
		this.removed.removeAll(next.keySet());
		while (this.removed.size() > MAX_REMOVED) {
			this.removed.remove(this.removed.iterator().next());
		}
		this.listed = next;
	}

	/**
	 * Returns whether a server must not receive new requests.
	 * @param id identifier of the server
	 * @return true if the server is draining or was removed
	 */
	public boolean contains(String id) {
		PoolMember member = this.listed.get(id);
		return (member != null) ? member.draining() : this.removed.contains(id);
	}

}

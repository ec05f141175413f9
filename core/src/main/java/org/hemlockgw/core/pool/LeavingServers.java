package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Servers that have stated in a response that they are leaving. The statement holds for
 * the process that made it, whatever the list of servers says, and not for a later
 * process with the same identifier. Not thread-safe.
 */
public final class LeavingServers {

	/** Maximum number of servers that are remembered. */
	static final int MAX_SERVERS = 1000;

	// In the order in which the servers became known as leaving.
	private final Map<String, Long> startTimesMs = new LinkedHashMap<>();

	/**
	 * Adds a server.
	 * @param id identifier of the server
	 * @param startedAtMs start of its process in milliseconds since the epoch; 0 if
	 * unknown
	 * @return whether the process was not known as leaving before
	 */
	public boolean add(String id, long startedAtMs) {
		if (contains(id, startedAtMs)) {
			return false;
		}
		this.startTimesMs.remove(id);
		this.startTimesMs.put(id, startedAtMs);
		Iterator<String> oldest = this.startTimesMs.keySet().iterator();
		while (this.startTimesMs.size() > MAX_SERVERS) {
			oldest.next();
			oldest.remove();
		}
		return true;
	}

	/**
	 * Returns whether a server is leaving.
	 * @param id identifier of the server
	 * @param startedAtMs start of its process in milliseconds since the epoch; 0 if
	 * unknown
	 * @return whether this process may be one that is leaving
	 */
	public boolean contains(String id, long startedAtMs) {
		Long leaving = this.startTimesMs.get(id);
		return leaving != null && (leaving == 0 || startedAtMs == 0 || leaving == startedAtMs);
	}

	/**
	 * Marks the servers of a list that are leaving as draining.
	 * @param members the list
	 * @return the list with these changes
	 */
	public List<PoolMember> apply(List<PoolMember> members) {
		List<PoolMember> marked = new ArrayList<>();
		for (PoolMember member : members) {
			marked.add(contains(member.id(), member.startedAtMs()) ? member.withDraining() : member);
		}
		return marked;
	}

}

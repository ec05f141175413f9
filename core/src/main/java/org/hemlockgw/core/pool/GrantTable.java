package org.hemlockgw.core.pool;

import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Slots that requests hold, by identifier of the request. Not thread-safe.
 */
final class GrantTable {

	/**
	 * Time after the caller's deadline at which an unreleased grant expires, in
	 * milliseconds.
	 */
	private static final long GRANT_TIMEOUT_MARGIN_MS = 1000;

	private static final long NANOS_PER_MS = 1_000_000;

	private final Map<String, Grant> grants = new HashMap<>();

	private final PoolServers servers;

	private final ProgramsUnderWay programs;

	GrantTable(PoolServers servers, ProgramsUnderWay programs) {
		this.servers = servers;
		this.programs = programs;
	}

	void add(PoolServer server, SlotRequest request, long nowNanos, boolean restored) {
		boolean warm = this.servers.occupy(server, request, nowNanos);
		this.grants.put(request.id(), new Grant(server, request, nowNanos, warm, restored));
	}

	boolean contains(String id) {
		return this.grants.containsKey(id);
	}

	/**
	 * Removes a grant without releasing its slot.
	 * @param id identifier of the request
	 * @return the grant; null if there is none
	 */
	@Nullable Grant remove(String id) {
		return this.grants.remove(id);
	}

	/**
	 * Releases a slot without learning from the time for which it was held.
	 * @param id identifier of the request
	 * @param nowNanos current time
	 */
	void cancel(String id, long nowNanos) {
		Grant grant = this.grants.remove(id);
		if (grant != null) {
			release(grant, nowNanos);
		}
	}

	/**
	 * Releases the slots of a daemon.
	 * @param holder name of the daemon
	 * @param nowNanos current time
	 */
	void cancelAll(String holder, long nowNanos) {
		for (Grant grant : List.copyOf(this.grants.values())) {
			if (grant.request().holder().equals(holder)) {
				cancel(grant.request().id(), nowNanos);
			}
		}
	}

	/**
	 * Releases the slots that were not released in time.
	 * @param nowNanos current time
	 */
	void expire(long nowNanos) {
		Iterator<Grant> iterator = this.grants.values().iterator();
		while (iterator.hasNext()) {
			Grant grant = iterator.next();
			long limitMs = grant.request().remainingMs() + GRANT_TIMEOUT_MARGIN_MS;
			if (nowNanos - grant.grantedAtNanos() > limitMs * NANOS_PER_MS) {
				release(grant, nowNanos);
				iterator.remove();
			}
		}
	}

	private void release(Grant grant, long nowNanos) {
		this.programs.recordRelease(grant.request(), -1, nowNanos);
		this.servers.release(grant.server(), grant.request(), grant.warm(), ResponseTiming.NONE, 0, nowNanos);
	}

	int size() {
		return this.grants.size();
	}

}

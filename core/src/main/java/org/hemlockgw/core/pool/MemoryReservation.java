package org.hemlockgw.core.pool;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Keeps one server free for a request that needs much memory and was passed by smaller
 * ones, which would otherwise be granted before it until its deadline. Not thread-safe.
 */
final class MemoryReservation {

	/** Number of grants that may pass a request that doesn't fit. */
	private static final int MAX_PASSES = 8;

	private final PoolServers servers;

	// Number of grants when a request was first found not to fit, by identifier.
	private final Map<String, Long> passedFrom = new HashMap<>();

	private @Nullable String request;

	private @Nullable PoolServer server;

	private long grants;

	MemoryReservation(PoolServers servers) {
		this.servers = servers;
	}

	/**
	 * Records that a request was first in the queue and fitted into no server.
	 * @param passed the request
	 */
	void recordPassed(SlotRequest passed) {
		long from = this.passedFrom.computeIfAbsent(passed.id(), (id) -> this.grants);
		if (this.request == null && this.grants - from >= MAX_PASSES) {
			this.server = this.servers.findLeastOccupied(passed);
			if (this.server != null) {
				this.request = passed.id();
				this.server.reserveFor(passed.id());
			}
		}
	}

	void recordGrant() {
		this.grants++;
	}

	/**
	 * Ends the reservation of a request that has left the queue.
	 * @param id identifier of the request
	 */
	void remove(String id) {
		this.passedFrom.remove(id);
		if (id.equals(this.request)) {
			release();
		}
	}

	/**
	 * Ends the reservation if its server receives no more requests.
	 */
	void update() {
		PoolServer reserved = this.server;
		if (reserved != null
				&& (reserved.member().draining() || this.servers.find(reserved.member().id()) != reserved)) {
			release();
		}
	}

	private void release() {
		if (this.server != null) {
			this.server.reserveFor(null);
		}
		this.server = null;
		this.request = null;
	}

}

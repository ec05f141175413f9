package org.hemlockgw.gateway.slots;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.SlotRequest;

/**
 * A slot in use, or a request for one that waits.
 */
public final class Slot {

	private final String pool;

	private final SlotRequest request;

	private @Nullable String scheduler;

	private @Nullable String server;

	Slot(String pool, SlotRequest request, @Nullable String scheduler) {
		this.pool = pool;
		this.request = request;
		this.scheduler = scheduler;
	}

	public @Nullable String server() {
		return this.server;
	}

	void setServer(String id) {
		this.server = id;
	}

	String pool() {
		return this.pool;
	}

	SlotRequest request() {
		return this.request;
	}

	/**
	 * Returns who counts the slot.
	 * @return peer address; null for this daemon
	 */
	@Nullable String scheduler() {
		return this.scheduler;
	}

	void setScheduler(@Nullable String address) {
		this.scheduler = address;
	}

}

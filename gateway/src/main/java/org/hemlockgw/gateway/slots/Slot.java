package org.hemlockgw.gateway.slots;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.SlotRequest;

/**
 * A slot at a backend server: granted, or requested and still waiting.
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

	/**
	 * Returns the backend server of the slot.
	 * @return identifier of the server; null until the slot is granted
	 */
	public @Nullable String server() {
		return this.server;
	}

	void setServer(String serverId) {
		this.server = serverId;
	}

	String pool() {
		return this.pool;
	}

	SlotRequest request() {
		return this.request;
	}

	/**
	 * Returns the daemon whose scheduler accounts for the slot.
	 * @return peer address; null for this daemon
	 */
	@Nullable String scheduler() {
		return this.scheduler;
	}

	void setScheduler(@Nullable String address) {
		this.scheduler = address;
	}

}

package org.hemlockgw.core.pool;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Servers of the sessions that used a pool most recently. Not thread-safe.
 */
final class SessionDirectory {

	/** Number of sessions that are remembered for each slot; most of them pause. */
	private static final int SESSIONS_PER_SLOT = 4;

	/** Number of sessions that are remembered even in a small pool. */
	static final int MIN_SESSIONS = 4096;

	private final Map<String, SessionPlacement> placements = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, SessionPlacement> eldest) {
			return size() > SessionDirectory.this.capacity;
		}
	};

	private long capacity = MIN_SESSIONS;

	/**
	 * Returns the key of a request's session. Sessions of different accounts never have
	 * the same key, because no name contains a line feed.
	 * @param request the request
	 * @return the key; empty if the request belongs to no session
	 */
	static String key(SlotRequest request) {
		return request.session().isEmpty() ? "" : request.account() + '\n' + request.session();
	}

	void setSlots(long slots) {
		this.capacity = Math.max(MIN_SESSIONS, slots * SESSIONS_PER_SLOT);
	}

	@Nullable SessionPlacement find(String key) {
		return key.isEmpty() ? null : this.placements.get(key);
	}

	/**
	 * Records where a session is placed.
	 * @param key key of the session
	 * @param server identifier of the server
	 * @param nowNanos current time
	 */
	void place(String key, String server, long nowNanos) {
		if (key.isEmpty()) {
			return;
		}
		SessionPlacement placement = this.placements.get(key);
		if (placement == null) {
			this.placements.put(key, new SessionPlacement(server));
		}
		else if (!placement.server().equals(server)) {
			placement.moveTo(server, nowNanos);
		}
	}

	int size() {
		return this.placements.size();
	}

}

package org.hemlockgw.standins.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prefix cache of an engine: one prefix per session, limited in tokens, with eviction of
 * the least recently used session that has no request in the batch.
 */
final class PrefixCache {

	/** Result of {@link #pin} when the request does not fit beside the running ones. */
	static final long NO_ROOM = -1;

	private static final int MAX_REMEMBERED_SESSIONS = 200_000;

	private static final double NS_PER_SECOND = 1e9;

	private final long capacity;

	/** Sessions from least to most recently used. */
	private final Map<String, Entry> entries = new LinkedHashMap<>();

	/** Most tokens that a session ever held, to tell recomputed from new tokens. */
	private final Map<String, Long> highest = new LinkedHashMap<>() {
		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
			return size() > MAX_REMEMBERED_SESSIONS;
		}
	};

	private final List<CacheChange> changes = new ArrayList<>();

	private long held;

	private long idle;

	private long reserved;

	private long clockNs;

	private double heldTokenSeconds;

	private double idleTokenSeconds;

	private long recomputed;

	private long evictions;

	PrefixCache(long capacity) {
		this.capacity = capacity;
	}

	/**
	 * Adds the time since the last call to the token-second counters.
	 * @param nowNs the time
	 */
	void accrue(long nowNs) {
		double seconds = Math.max(0, nowNs - this.clockNs) / NS_PER_SECOND;
		this.heldTokenSeconds += this.held * seconds;
		this.idleTokenSeconds += this.idle * seconds;
		this.clockNs = Math.max(this.clockNs, nowNs);
	}

	/**
	 * Reserves memory for a request and protects its session from eviction.
	 * @param session cache session
	 * @param promptTokens tokens of the prompt
	 * @param totalTokens tokens at the end of the answer
	 * @return prompt tokens found in the cache, or {@link #NO_ROOM}
	 */
	long pin(String session, long promptTokens, long totalTokens) {
		Entry entry = this.entries.get(session);
		long size = (entry != null) ? entry.size() : 0;
		long target = Math.max(size, totalTokens);
		if (!makeRoom(session, target - size)) {
			return NO_ROOM;
		}
		Entry pinned = touch(session);
		// The last prompt token is always computed, because it yields the first token.
		long cached = Math.min(pinned.tokens, promptTokens - 1);
		long known = Math.min(this.highest.getOrDefault(session, 0L), promptTokens - 1);
		this.recomputed += Math.max(0, known - cached);
		if (pinned.pins == 0) {
			this.idle -= pinned.tokens;
			setTokens(pinned, cached);
		}
		pinned.pins++;
		setReservation(pinned, Math.max(pinned.reservation, target));
		return cached;
	}

	/**
	 * Records that a running request has computed up to a position.
	 * @param session cache session
	 * @param position tokens of prompt and answer computed
	 */
	void hold(String session, long position) {
		Entry entry = this.entries.get(session);
		if (entry != null && position > entry.tokens) {
			setTokens(entry, position);
			this.highest.merge(session, position, Math::max);
		}
	}

	void unpin(String session) {
		Entry entry = this.entries.get(session);
		if (entry == null) {
			return;
		}
		entry.pins--;
		if (entry.pins > 0) {
			return;
		}
		setReservation(entry, 0);
		this.idle += entry.tokens;
		if (entry.releaseWhenIdle) {
			remove(session);
			return;
		}
		touch(session);
		this.changes.add(new CacheChange(session, entry.tokens));
	}

	/**
	 * Drops a session, at the end of its running request if there is one.
	 * @param session cache session
	 * @return whether the session was held
	 */
	boolean release(String session) {
		Entry entry = this.entries.get(session);
		if (entry == null) {
			return false;
		}
		if (entry.pins > 0) {
			entry.releaseWhenIdle = true;
			return true;
		}
		remove(session);
		return true;
	}

	boolean load(String session, long tokens) {
		Entry entry = this.entries.get(session);
		long size = (entry != null) ? entry.size() : 0;
		long target = Math.max(size, tokens);
		if (target > this.capacity || !makeRoom(session, target - size)) {
			return false;
		}
		Entry loaded = touch(session);
		if (tokens > loaded.tokens) {
			this.idle += (loaded.pins == 0) ? tokens - loaded.tokens : 0;
			setTokens(loaded, tokens);
			this.highest.merge(session, tokens, Math::max);
		}
		this.changes.add(new CacheChange(session, loaded.tokens));
		return true;
	}

	void clear() {
		this.entries.clear();
		this.held = 0;
		this.idle = 0;
		this.reserved = 0;
	}

	long tokens(String session) {
		Entry entry = this.entries.get(session);
		return (entry != null) ? entry.tokens : 0;
	}

	List<String> sessions() {
		return List.copyOf(this.entries.keySet());
	}

	List<CacheChange> drainChanges() {
		List<CacheChange> drained = List.copyOf(this.changes);
		this.changes.clear();
		return drained;
	}

	long held() {
		return this.held;
	}

	double heldTokenSeconds() {
		return this.heldTokenSeconds;
	}

	double idleTokenSeconds() {
		return this.idleTokenSeconds;
	}

	long recomputed() {
		return this.recomputed;
	}

	long evictions() {
		return this.evictions;
	}

	private boolean makeRoom(String session, long extra) {
		long missing = this.reserved + extra - this.capacity;
		if (missing <= 0) {
			return true;
		}
		Entry own = this.entries.get(session);
		long evictable = this.idle - ((own != null && own.pins == 0) ? own.tokens : 0);
		boolean othersRun = this.entries.values().stream().anyMatch((e) -> e.pins > 0);
		if (evictable < missing && othersRun) {
			return false;
		}
		Iterator<Map.Entry<String, Entry>> oldestFirst = this.entries.entrySet().iterator();
		while (missing > 0 && oldestFirst.hasNext()) {
			Map.Entry<String, Entry> candidate = oldestFirst.next();
			Entry entry = candidate.getValue();
			if (entry.pins > 0 || candidate.getKey().equals(session)) {
				continue;
			}
			missing -= entry.tokens;
			oldestFirst.remove();
			forget(candidate.getKey(), entry);
			this.evictions++;
		}
		return true;
	}

	private Entry touch(String session) {
		Entry entry = this.entries.remove(session);
		Entry touched = (entry != null) ? entry : new Entry();
		this.entries.put(session, touched);
		return touched;
	}

	private void remove(String session) {
		Entry entry = this.entries.remove(session);
		if (entry != null) {
			forget(session, entry);
		}
	}

	private void forget(String session, Entry entry) {
		this.idle -= entry.tokens;
		setTokens(entry, 0);
		this.changes.add(new CacheChange(session, 0));
	}

	private void setTokens(Entry entry, long tokens) {
		this.reserved -= entry.size();
		this.held += tokens - entry.tokens;
		entry.tokens = tokens;
		this.reserved += entry.size();
	}

	private void setReservation(Entry entry, long reservation) {
		this.reserved -= entry.size();
		entry.reservation = reservation;
		this.reserved += entry.size();
	}

	private static final class Entry {

		private long tokens;

		private long reservation;

		private int pins;

		private boolean releaseWhenIdle;

		long size() {
			return Math.max(this.tokens, this.reservation);
		}

	}

}

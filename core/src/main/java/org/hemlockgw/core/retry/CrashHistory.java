package org.hemlockgw.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Engine crashes by digest of the request content. Content whose requests crash engines
 * repeatedly is quarantined. Thread-safe.
 */
public final class CrashHistory {

	/** Default number of engine crashes after which content is quarantined. */
	public static final int DEFAULT_QUARANTINE_THRESHOLD = 2;

	/** Duration of a quarantine, and time after which a crash is no longer counted. */
	public static final Duration QUARANTINE_DURATION = Duration.ofHours(1);

	private static final int MAX_DIGESTS = 4096;

	private final Map<String, CrashRecord> crashesByDigest = new LinkedHashMap<>();

	private final int quarantineThreshold;

	public CrashHistory() {
		this(DEFAULT_QUARANTINE_THRESHOLD);
	}

	/**
	 * Creates an empty history.
	 * @param quarantineThreshold number of engine crashes after which content is
	 * quarantined
	 */
	public CrashHistory(int quarantineThreshold) {
		this.quarantineThreshold = quarantineThreshold;
	}

	/**
	 * Returns whether no crash is recorded. Callers need not compute a digest in that
	 * case.
	 * @return whether the history is empty
	 */
	public synchronized boolean isEmpty() {
		return this.crashesByDigest.isEmpty();
	}

	/**
	 * Records an engine crash during an attempt. Attempts with equal content that were on
	 * the same engine when it crashed count as one crash.
	 * @param digest digest of the content
	 * @param engine name of the engine
	 * @param attemptStart time at which the attempt was sent
	 * @param now time of the crash
	 * @return whether the content is to be quarantined
	 */
	public synchronized boolean recordCrash(String digest, String engine, Instant attemptStart, Instant now) {
		CrashRecord record = this.crashesByDigest.get(digest);
		boolean sameCrash = record != null && record.engine().equals(engine)
				&& !attemptStart.isAfter(record.lastCrash());
		return add(digest, engine, now, sameCrash ? 0 : 1);
	}

	/**
	 * Records an engine crash during an attempt whose start time was taken from a
	 * different clock. Each call counts as a separate crash.
	 * @param digest digest of the content
	 * @param engine name of the engine
	 * @param now time of the crash
	 * @return whether the content is to be quarantined
	 */
	public synchronized boolean recordCrash(String digest, String engine, Instant now) {
		return add(digest, engine, now, 1);
	}

	private boolean add(String digest, String engine, Instant now, int increment) {
		CrashRecord previous = this.crashesByDigest.remove(digest);
		int count = (previous == null || now.isAfter(previous.lastCrash().plus(QUARANTINE_DURATION))) ? 1
				: previous.count() + increment;
		evict();
		this.crashesByDigest.put(digest, new CrashRecord(count, engine, now));
		return count >= this.quarantineThreshold;
	}

	/**
	 * Returns whether an engine has crashed recently while processing this content.
	 * @param digest digest of the content
	 * @param now current time
	 * @return whether a crash is recorded
	 */
	public synchronized boolean isSuspect(String digest, Instant now) {
		CrashRecord record = this.crashesByDigest.get(digest);
		return record != null && !now.isAfter(record.lastCrash().plus(QUARANTINE_DURATION));
	}

	/**
	 * Returns whether content is quarantined because of crashes observed by this daemon.
	 * This holds before the record on the control stream has been read back.
	 * @param digest digest of the content
	 * @param now current time
	 * @return whether the content is quarantined
	 */
	public synchronized boolean isQuarantined(String digest, Instant now) {
		CrashRecord record = this.crashesByDigest.get(digest);
		return record != null && record.count() >= this.quarantineThreshold
				&& !now.isAfter(record.lastCrash().plus(QUARANTINE_DURATION));
	}

	private void evict() {
		Iterator<String> oldest = this.crashesByDigest.keySet().iterator();
		if (this.crashesByDigest.size() >= MAX_DIGESTS && oldest.hasNext()) {
			oldest.next();
			oldest.remove();
		}
	}

	private record CrashRecord(int count, String engine, Instant lastCrash) {
	}

}

package org.hemlockgw.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Engine crashes by digest of the request content. Content whose requests crash engines
 * repeatedly, without being processed by any engine in between, is quarantined.
 * Thread-safe.
 */
public final class CrashHistory {

	/** Default number of engine crashes after which content is quarantined. */
	public static final int DEFAULT_QUARANTINE_THRESHOLD = 2;

	/** Duration of a quarantine, and time after which a crash is no longer counted. */
	public static final Duration QUARANTINE_DURATION = Duration.ofHours(1);

	private static final int MAX_DIGESTS = 4096;

	private static final int MAX_DISCARDED_REPORTS = 4096;

	private final Map<String, CrashRecord> crashesByDigest = new LinkedHashMap<>();

	// In the order in which they were discarded.
	private final Set<CrashReport> discardedReports = new LinkedHashSet<>();

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
		return add(digest, engine, now, sameCrash ? 0 : 1).count() >= this.quarantineThreshold;
	}

	/**
	 * Records a crash that this daemon or another one has observed. Repeated reports,
	 * reports that {@link #recordSuccess} has discarded and reports about quarantined
	 * content change nothing.
	 * @param report the report
	 * @param now current time
	 * @return whether the crash was counted
	 */
	public synchronized boolean recordCrash(CrashReport report, Instant now) {
		CrashRecord previous = this.crashesByDigest.get(report.digest());
		if (isQuarantined(report.digest(), now) || this.discardedReports.contains(report)
				|| (previous != null && previous.reports().stream().anyMatch(report::isSameCrash))) {
			return false;
		}
		// The clocks of daemons differ, and the order of reports does too.
		Instant time = report.time().isAfter(now) ? now : report.time();
		if (previous != null && previous.lastCrash().isAfter(time)) {
			time = previous.lastCrash();
		}
		add(report.digest(), report.engine(), time, 1).reports().add(report);
		return true;
	}

	/**
	 * Returns the reports of the crashes that are counted for this content.
	 * @param digest digest of the content
	 * @return the reports, at most as many as lead to a quarantine
	 */
	public synchronized List<CrashReport> reports(String digest) {
		CrashRecord record = this.crashesByDigest.get(digest);
		return (record != null) ? List.copyOf(record.reports()) : List.of();
	}

	/**
	 * Records that an engine has processed this content without crashing. Crashes counted
	 * so far had another cause, so they are discarded.
	 * @param digest digest of the content
	 * @return the reports that no longer count
	 */
	public synchronized List<CrashReport> recordSuccess(String digest) {
		CrashRecord record = this.crashesByDigest.remove(digest);
		if (record == null) {
			return List.of();
		}
		this.discardedReports.addAll(record.reports());
		Iterator<CrashReport> oldest = this.discardedReports.iterator();
		while (this.discardedReports.size() > MAX_DISCARDED_REPORTS) {
			oldest.next();
			oldest.remove();
		}
		return List.copyOf(record.reports());
	}

	/**
	 * Returns whether a report no longer counts because its content was processed.
	 * @param report the report
	 * @return whether {@link #recordSuccess} has discarded it
	 */
	public synchronized boolean isDiscarded(CrashReport report) {
		return this.discardedReports.contains(report);
	}

	private CrashRecord add(String digest, String engine, Instant now, int increment) {
		CrashRecord previous = this.crashesByDigest.remove(digest);
		CrashRecord next = (previous == null || now.isAfter(previous.lastCrash().plus(QUARANTINE_DURATION)))
				? new CrashRecord(1, engine, now, new LinkedHashSet<>())
				: new CrashRecord(previous.count() + increment, engine, now, previous.reports());
		evict();
		this.crashesByDigest.put(digest, next);
		return next;
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

	private record CrashRecord(int count, String engine, Instant lastCrash, Set<CrashReport> reports) {
	}

}

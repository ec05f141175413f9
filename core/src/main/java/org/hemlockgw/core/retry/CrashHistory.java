package org.hemlockgw.core.retry;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts engine deaths by content digest. Thread-safe.
 */
public final class CrashHistory {

	/**
	 * Engine deaths after which content is quarantined, unless another figure is given.
	 */
	public static final int DEATHS_TO_QUARANTINE = 2;

	/** How long content stays quarantined, and how long a death is remembered. */
	public static final Duration QUARANTINE_DURATION = Duration.ofHours(1);

	private static final int MAX_SUSPECTS = 4096;

	private final Map<String, Suspect> suspects = new LinkedHashMap<>();

	private final int deathsToQuarantine;

	public CrashHistory() {
		this(DEATHS_TO_QUARANTINE);
	}

	/**
	 * Creates an empty list.
	 * @param deathsToQuarantine engine deaths after which content is quarantined
	 */
	public CrashHistory(int deathsToQuarantine) {
		this.deathsToQuarantine = deathsToQuarantine;
	}

	/**
	 * Tells whether no death is remembered, so that no digest is needed.
	 * @return whether the list is empty
	 */
	public synchronized boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	/**
	 * Notes that an engine died under an attempt. Attempts with equal content that were
	 * on the same engine when it died count as one death.
	 * @param digest content digest
	 * @param engine the engine
	 * @param attemptStart when the attempt was sent
	 * @param now time of the death
	 * @return whether the content is to be quarantined
	 */
	public synchronized boolean recordCrash(String digest, String engine, Instant attemptStart, Instant now) {
		Suspect known = this.suspects.get(digest);
		boolean same = known != null && known.engine().equals(engine) && !attemptStart.isAfter(known.lastDeath());
		return add(digest, engine, now, same ? 0 : 1);
	}

	/**
	 * Notes that an engine died under an attempt, whose start is not known by the same
	 * clock. Each death counts.
	 * @param digest content digest
	 * @param engine the engine
	 * @param now time of the death
	 * @return whether the content is to be quarantined
	 */
	public synchronized boolean recordCrash(String digest, String engine, Instant now) {
		return add(digest, engine, now, 1);
	}

	private boolean add(String digest, String engine, Instant now, int more) {
		Suspect before = this.suspects.remove(digest);
		int deaths = (before == null || now.isAfter(before.lastDeath().plus(QUARANTINE_DURATION))) ? 1
				: before.deaths() + more;
		evict();
		this.suspects.put(digest, new Suspect(deaths, engine, now));
		return deaths >= this.deathsToQuarantine;
	}

	public synchronized boolean isSuspect(String digest, Instant now) {
		Suspect known = this.suspects.get(digest);
		return known != null && !now.isAfter(known.lastDeath().plus(QUARANTINE_DURATION));
	}

	/**
	 * Tells whether content is quarantined by this daemon's own observations, before the
	 * record on the control stream is read back.
	 * @param digest content digest
	 * @param now the time
	 * @return whether it is quarantined
	 */
	public synchronized boolean isQuarantined(String digest, Instant now) {
		Suspect known = this.suspects.get(digest);
		return known != null && known.deaths() >= this.deathsToQuarantine
				&& !now.isAfter(known.lastDeath().plus(QUARANTINE_DURATION));
	}

	private void evict() {
		Iterator<String> oldest = this.suspects.keySet().iterator();
		if (this.suspects.size() >= MAX_SUSPECTS && oldest.hasNext()) {
			oldest.next();
			oldest.remove();
		}
	}

	private record Suspect(int deaths, String engine, Instant lastDeath) {
	}

}

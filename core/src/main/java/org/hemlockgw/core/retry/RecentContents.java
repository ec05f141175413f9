package org.hemlockgw.core.retry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Contents that engines have recently processed. Not thread-safe.
 */
public final class RecentContents {

	/** Time for which a content is remembered after it was processed. */
	static final long MAX_AGE_S = 120;

	static final int MAX_CONTENTS = 1024;

	private final LongSupplier nanoClock;

	// Time of the last processing by hash, in the order of these times.
	private final LinkedHashMap<Long, Long> processedNanos = new LinkedHashMap<>();

	/**
	 * Creates an empty collection.
	 * @param nanoClock monotonic clock in nanoseconds with an arbitrary origin
	 */
	public RecentContents(LongSupplier nanoClock) {
		this.nanoClock = nanoClock;
	}

	/**
	 * Records that a content was processed.
	 * @param hash hash of the content
	 */
	public void add(long hash) {
		this.processedNanos.remove(hash);
		this.processedNanos.put(hash, this.nanoClock.getAsLong());
		if (this.processedNanos.size() > MAX_CONTENTS) {
			Map.Entry<Long, Long> oldest = this.processedNanos.entrySet().iterator().next();
			this.processedNanos.remove(oldest.getKey());
		}
	}

	/**
	 * Returns whether a content was processed recently.
	 * @param hash hash of the content
	 * @return whether it was
	 */
	public boolean contains(long hash) {
		Long nanos = this.processedNanos.get(hash);
		return nanos != null && this.nanoClock.getAsLong() - nanos < TimeUnit.SECONDS.toNanos(MAX_AGE_S);
	}

}

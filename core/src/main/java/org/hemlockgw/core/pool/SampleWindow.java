package org.hemlockgw.core.pool;

import java.util.Arrays;

/**
 * Median of the newest samples within a time window. Not thread-safe.
 */
final class SampleWindow {

	/**
	 * Maximum number of samples. The median of 128 samples with a deviation of 30 percent
	 * has a standard error of 3 percent.
	 */
	private static final int MAX_SAMPLES = 128;

	/**
	 * Age in nanoseconds from which samples are ignored; longer than the spells in which
	 * a server is temporarily slow.
	 */
	private static final long MAX_AGE_NANOS = 60_000_000_000L;

	/** Number of samples below which the median may come from a single slow spell. */
	private static final int MIN_SAMPLES = 8;

	private final double[] values = new double[MAX_SAMPLES];

	private final long[] timesNanos = new long[MAX_SAMPLES];

	private int next;

	private int count;

	private double median = Double.NaN;

	// Time until which the median holds without a new sample.
	private long validUntilNanos = Long.MIN_VALUE / 2;

	void add(double value, long nowNanos) {
		this.values[this.next] = value;
		this.timesNanos[this.next] = nowNanos;
		this.next = (this.next + 1) % MAX_SAMPLES;
		this.count = Math.min(MAX_SAMPLES, this.count + 1);
		this.validUntilNanos = nowNanos - 1;
	}

	/**
	 * Returns the median of the samples. It is computed again only after a new sample or
	 * when one has become too old, because a pool has thousands of servers.
	 * @param nowNanos current time
	 * @return the median; NaN with too few recent samples
	 */
	double median(long nowNanos) {
		if (nowNanos - this.validUntilNanos <= 0) {
			return this.median;
		}
		double[] recent = new double[this.count];
		int size = 0;
		this.validUntilNanos = nowNanos + MAX_AGE_NANOS;
		for (int i = 0; i < this.count; i++) {
			if (nowNanos - this.timesNanos[i] <= MAX_AGE_NANOS) {
				recent[size++] = this.values[i];
				this.validUntilNanos = Math.min(this.validUntilNanos, this.timesNanos[i] + MAX_AGE_NANOS);
			}
		}
		if (size < MIN_SAMPLES) {
			this.median = Double.NaN;
			return this.median;
		}
		Arrays.sort(recent, 0, size);
		this.median = recent[size / 2];
		return this.median;
	}

}

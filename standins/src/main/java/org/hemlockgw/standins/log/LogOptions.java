package org.hemlockgw.standins.log;

/**
 * Initial settings of the log service.
 *
 * @param appendsPerS appends accepted a second over all streams; 0 for no limit
 * @param retentionMs how long a record is kept; 0 for ever
 */
public record LogOptions(long appendsPerS, long retentionMs) {

	/** The platform's usual log: several hundred appends a second. */
	public static final LogOptions DEFAULT = new LogOptions(400, 600_000);

}

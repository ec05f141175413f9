package org.hemlockgw.standins.log;

/**
 * Counts of one stream since the start of the log service.
 *
 * @param appends appended records
 * @param bytes appended bytes
 * @param first first offset still kept
 */
public record LogStreamStats(long appends, long bytes, long first) {
}

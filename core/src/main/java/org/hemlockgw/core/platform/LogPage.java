package org.hemlockgw.core.platform;

import java.util.List;

/**
 * Result of reading a log stream.
 *
 * @param firstOffset first offset that is still in the log
 * @param nextOffset offset of the next record to be appended
 * @param records records starting at the requested offset, or at {@code firstOffset} if
 * that is higher
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {
}

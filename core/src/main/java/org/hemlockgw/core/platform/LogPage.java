package org.hemlockgw.core.platform;

import java.util.List;

/**
 * Result of a read.
 *
 * @param firstOffset the first offset that the log still keeps
 * @param nextOffset the offset that the next append will get
 * @param records records from the requested offset on, or from {@code firstOffset} if that is
 * higher
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {
}

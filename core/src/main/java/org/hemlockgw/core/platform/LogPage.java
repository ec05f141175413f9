package org.hemlockgw.core.platform;

import java.util.List;

/**
 * Result of a read.
 *
 * @param first the first offset that the log still keeps
 * @param next the offset that the next append will get
 * @param records records from the requested offset on, or from {@code first} if that is
 * higher
 */
public record LogPage(long first, long next, List<LogRecord> records) {
}

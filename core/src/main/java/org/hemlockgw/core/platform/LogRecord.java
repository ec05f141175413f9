package org.hemlockgw.core.platform;

import java.time.Instant;

/**
 * A record of a log stream.
 *
 * @param offset position in the stream, consecutive from 0
 * @param time time at which the log accepted the record
 * @param data content of the record
 */
public record LogRecord(long offset, Instant time, byte[] data) {
}

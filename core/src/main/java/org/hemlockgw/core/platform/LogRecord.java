package org.hemlockgw.core.platform;

import java.time.Instant;

/**
 * A record of a log stream.
 *
 * @param offset position in the stream, from 0 without holes
 * @param time when the log accepted it
 * @param data the bytes
 */
public record LogRecord(long offset, Instant time, byte[] data) {
}

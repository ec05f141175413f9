package org.hemlockgw.core.config;

import java.time.Instant;

/**
 * Who made a version and why.
 *
 * @param version the version
 * @param time when the log accepted the patch
 * @param patchId identifier of the patch
 * @param author who asked
 * @param reason why
 */
public record VersionNote(long version, Instant time, String patchId, String author, String reason) {
}

package org.hemlockgw.core.config;

import java.time.Instant;

/**
 * Origin of a configuration version.
 *
 * @param version version number
 * @param time time at which the log accepted the patch
 * @param patchId identifier of the patch
 * @param author who requested the change
 * @param reason reason for the change
 */
public record VersionNote(long version, Instant time, String patchId, String author, String reason) {
}

package org.hemlockgw.core.config;

import java.time.Instant;
import java.util.List;

/**
 * Outcome of one patch of the stream.
 *
 * @param offset offset of the patch
 * @param time time at which the log accepted the patch
 * @param patch the patch, without its content if that is too large to keep
 * @param version version that the patch created, or 0 if it was rejected
 * @param causes reasons for the rejection; empty if the patch was accepted
 */
public record PatchOutcome(long offset, Instant time, ConfigPatch patch, long version, List<String> causes) {

	public PatchOutcome {
		causes = List.copyOf(causes);
	}

	public boolean isAccepted() {
		return this.causes.isEmpty();
	}

}

package org.hemlockgw.core.config;

import java.time.Instant;
import java.util.List;

/**
 * What became of one patch of the stream.
 *
 * @param offset offset of the patch
 * @param time when the log accepted it
 * @param patch the patch; without its content if that is large
 * @param version the version that it made, or 0 if it was rejected
 * @param causes why it was rejected; empty if it was accepted
 */
public record PatchOutcome(long offset, Instant time, ConfigPatch patch, long version, List<String> causes) {

	public PatchOutcome {
		causes = List.copyOf(causes);
	}

	public boolean isAccepted() {
		return this.causes.isEmpty();
	}

}

package org.hemlockgw.core.pool;

import org.jspecify.annotations.Nullable;

/**
 * Outcome of a request for a slot.
 *
 * @param serverId the server to use; null if the request is refused
 * @param address its IP number and port; empty if refused
 * @param retryAfterMs when to come back if refused
 * @param reason why it was refused; empty if granted
 */
public record SlotDecision(@Nullable String serverId, String address, long retryAfterMs, String reason) {

	public static SlotDecision granted(PoolMember member) {
		return new SlotDecision(member.id(), member.address(), 0, "");
	}

	public static SlotDecision refused(long retryAfterMs, String reason) {
		return new SlotDecision(null, "", retryAfterMs, reason);
	}

}

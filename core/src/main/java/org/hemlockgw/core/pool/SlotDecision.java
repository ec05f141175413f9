package org.hemlockgw.core.pool;

import org.jspecify.annotations.Nullable;

/**
 * Decision on a slot request: granted with a server, or refused.
 *
 * @param serverId identifier of the granted server; null if refused
 * @param address IP address and port of the granted server; empty if refused
 * @param retryAfterMs time in milliseconds after which a refused caller may retry
 * @param reason reason for the refusal; empty if granted
 */
public record SlotDecision(@Nullable String serverId, String address, long retryAfterMs, String reason) {

	public static SlotDecision granted(PoolMember member) {
		return new SlotDecision(member.id(), member.address(), 0, "");
	}

	public static SlotDecision refused(long retryAfterMs, String reason) {
		return new SlotDecision(null, "", retryAfterMs, reason);
	}

}

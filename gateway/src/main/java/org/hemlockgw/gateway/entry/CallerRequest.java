package org.hemlockgw.gateway.entry;

import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.route.RequestKind;

/**
 * Parsed headers of a caller's request.
 *
 * @param id identifier of this attempt; empty if missing
 * @param host requested host
 * @param path path without query
 * @param deadlineMs time in milliseconds that the caller waits for a response; 0 if not
 * given
 * @param credentials credentials of the caller's client account; null if not given
 * @param session identifier of the session that the request belongs to; empty for none
 * @param affinityKey objects for which a plain server that handled them recently is
 * faster; empty for none
 * @param program identifier of the program that the request belongs to; null for none
 * @param programDeadlineMs time in milliseconds until the whole program is late;
 * {@link Long#MAX_VALUE} if not given
 * @param tokenBudget maximum number of tokens that the program may generate; negative if
 * not given
 * @param maxTokens maximum number of tokens that this turn generates
 * @param previousTurn identifier of the turn that this one continues; null at the start
 * of a chain
 * @param prompt parts of the prompt in order
 */
public record CallerRequest(String id, String host, String path, long deadlineMs, @Nullable String credentials,
		String session, String affinityKey, @Nullable String program, long programDeadlineMs, long tokenBudget,
		int maxTokens, @Nullable String previousTurn, List<PromptPart> prompt) {

	/**
	 * Returns what connects the request with earlier ones at the same server.
	 * @param kind kind of the route
	 * @return the session of a turn or the objects of a plain request; empty for none
	 */
	String placementKey(RequestKind kind) {
		// The session of a plain request is that of its program, which no plain server
		// keeps anything of.
		return (kind == RequestKind.STREAMING) ? this.session : this.affinityKey;
	}

	long programRemainingMs(Deadline deadline) {
		return (this.programDeadlineMs == Long.MAX_VALUE) ? this.programDeadlineMs
				: this.programDeadlineMs - deadline.elapsedMs();
	}

	/**
	 * Returns a description without the credentials, so that no log line contains a key.
	 */
	@Override
	public String toString() {
		return "CallerRequest[id=" + this.id + ", host=" + this.host + ", path=" + this.path + ", program="
				+ this.program + "]";
	}

}

package org.hemlockgw.core.turn;

import java.time.Duration;
import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * Record of a turn whose response was delivered completely. The arrays are not copied and
 * must not be modified.
 *
 * @param id request identifier of the turn
 * @param program program that the turn belongs to
 * @param parent identifier of the preceding turn; null at the start of a chain
 * @param input new input of the turn
 * @param output data of all events, each terminated by a line feed
 * @param endedAt time at which the turn ended
 * @param retention how long the turn is retained after its end
 */
public record TurnRecord(String id, String program, @Nullable String parent, byte[] input, byte[] output,
		Instant endedAt, Duration retention) {

	public Instant expiresAt() {
		return this.endedAt.plus(this.retention);
	}

}

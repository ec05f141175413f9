package org.hemlockgw.core.turn;

import java.time.Duration;
import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * A turn that was answered whole. The arrays are not copied and must not be changed.
 *
 * @param id request identifier of the turn
 * @param program program that the turn belongs to
 * @param parent turn that it continues; null at the start of a chain
 * @param input new input of the turn
 * @param output data of each event, each followed by a line feed
 * @param endedAt time of day at which the turn ended
 * @param retention how long it is kept after its end
 */
public record TurnRecord(String id, String program, @Nullable String parent, byte[] input, byte[] output,
		Instant endedAt, Duration retention) {

	public Instant expiresAt() {
		return this.endedAt.plus(this.retention);
	}

}

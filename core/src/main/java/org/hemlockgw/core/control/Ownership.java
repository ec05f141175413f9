package org.hemlockgw.core.control;

import java.time.Instant;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.Incarnation;

/**
 * Ownership of a shard or an engine.
 *
 * @param epoch epoch of the last accepted claim; 0 if never claimed
 * @param incarnation the current owner; {@code null} before the first claim, after a
 * release, and after the owner was reported as down
 * @param ready whether the takeover of that epoch is complete; always {@code true} for an
 * engine that was claimed
 * @param since time of the last accepted claim
 * @param unsealed claimants whose ledgers a successor must seal and read: the last one
 * that completed its takeover and all later ones, one for each epoch, oldest first; empty
 * for an engine
 */
public record Ownership(long epoch, @Nullable Incarnation incarnation, boolean ready, Instant since,
		List<Incarnation> unsealed) {

	/** Never claimed. */
	public static final Ownership NONE = new Ownership(0, null, false, Instant.EPOCH, List.of());

	/**
	 * Returns the epoch of the first claimant in {@link #unsealed}. Ledger records of
	 * earlier epochs are outdated.
	 * @return the epoch
	 */
	public long firstUnsealedEpoch() {
		return this.epoch - this.unsealed.size() + 1;
	}

}

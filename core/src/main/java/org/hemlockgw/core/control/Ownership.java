package org.hemlockgw.core.control;

import java.time.Instant;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.Incarnation;

/**
 * Who holds a shard or an engine.
 *
 * @param epoch epoch of the last accepted claim; 0 for never claimed
 * @param incarnation the claimant of that epoch, or {@code null} after a release, after a
 * report that it is down, or before the first claim
 * @param ready whether the take-over of that epoch is complete; always true for an engine
 * @param since time of the claim
 * @param unsealed claimants since and including the last one with a completed take-over,
 * oldest first and one for each epoch, whose ledgers a successor seals and reads; empty
 * for an engine
 */
public record Ownership(long epoch, @Nullable Incarnation incarnation, boolean ready, Instant since,
		List<Incarnation> unsealed) {

	/** Never claimed. */
	public static final Ownership NONE = new Ownership(0, null, false, Instant.EPOCH, List.of());

	/**
	 * Returns the epoch of the first claimant of {@link #unsealed}. What a ledger holds
	 * of earlier epochs is out of date.
	 * @return the epoch
	 */
	public long firstUnsealedEpoch() {
		return this.epoch - this.unsealed.size() + 1;
	}

}

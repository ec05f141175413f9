package org.hemlockgw.core.control;

import java.time.Instant;
import java.util.Map;
import java.util.Set;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;

/**
 * A record of the {@code control} stream.
 */
public sealed interface ControlRecord {

	/**
	 * A daemon started, or started a new incarnation. Other daemons learn from it which
	 * incarnation of a VM is the current one.
	 */
	record Started(Incarnation incarnation, Instant at) implements ControlRecord {
	}

	/** A claim of shards; each is accepted if its epoch is the current one plus 1. */
	record ClaimShards(Incarnation by, Map<ShardId, Long> epochs, Instant at) implements ControlRecord {
	}

	/** The claimant has sealed all earlier ledgers and checkpointed the programs. */
	record TakeOverCompleted(Incarnation by, Map<ShardId, Long> epochs) implements ControlRecord {
	}

	/** The holder gave up shards after their last open call. */
	record ReleaseShards(Incarnation by, Map<ShardId, Long> epochs) implements ControlRecord {
	}

	/** A claim of engines; the epoch is the fencing number of orders to the engine. */
	record ClaimEngines(Incarnation by, Map<String, Long> epochs, Instant at) implements ControlRecord {
	}

	/** The dispatcher gave up engines. */
	record ReleaseEngines(Incarnation by, Set<String> engines) implements ControlRecord {
	}

	/** A daemon shuts down: it takes no new shards or engines and releases its own. */
	record Draining(Incarnation incarnation, Instant at) implements ControlRecord {
	}

	/** An incarnation was seen to be unreachable. */
	record Down(Incarnation incarnation, String reportedBy, String reason, Instant at) implements ControlRecord {
	}

	/** Content that crashed engines is refused by every daemon until the given time. */
	record Quarantine(String digest, String reason, Instant until) implements ControlRecord {
	}

}

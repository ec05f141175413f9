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
	 * A daemon started, or continues as a new incarnation. Announces the current
	 * incarnation of the VM to other daemons.
	 */
	record Started(Incarnation incarnation, Instant at) implements ControlRecord {
	}

	/** A claim of shards. Each is accepted if its epoch is the current epoch plus 1. */
	record ClaimShards(Incarnation by, Map<ShardId, Long> epochs, Instant at) implements ControlRecord {
	}

	/**
	 * The claimant has sealed all earlier ledgers and written a checkpoint of the
	 * programs.
	 */
	record TakeOverCompleted(Incarnation by, Map<ShardId, Long> epochs) implements ControlRecord {
	}

	/** The owner released shards after their last open call. */
	record ReleaseShards(Incarnation by, Map<ShardId, Long> epochs) implements ControlRecord {
	}

	/** A claim of engines. The epoch is the fencing token of commands to the engine. */
	record ClaimEngines(Incarnation by, Map<String, Long> epochs, Instant at) implements ControlRecord {
	}

	/** The dispatcher released engines. */
	record ReleaseEngines(Incarnation by, Set<String> engines) implements ControlRecord {
	}

	/**
	 * A daemon is shutting down: it claims no more shards or engines and releases its
	 * own.
	 */
	record Draining(Incarnation incarnation, Instant at) implements ControlRecord {
	}

	/** An incarnation was found to be unreachable. */
	record Down(Incarnation incarnation, String reportedBy, String reason, Instant at) implements ControlRecord {
	}

	/** Content that crashed engines. All daemons reject it until the given time. */
	record Quarantine(String digest, String reason, Instant until) implements ControlRecord {
	}

}

package org.hemlockgw.core.control;

import java.util.Map;
import java.util.Set;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;

/**
 * Immutable state derived from the control stream.
 *
 * @param offset offset of the next record to read
 * @param incarnations current incarnation by VM name; a VM that was reported as down has
 * none until it starts again
 * @param shards ownership by shard; a shard that was never claimed has no entry
 * @param engines ownership by engine name; an engine that was never claimed has no entry
 * @param quarantined quarantines by content digest
 * @param draining names of VMs whose daemon is shutting down
 */
public record ControlState(long offset, Map<String, Incarnation> incarnations, Map<ShardId, Ownership> shards,
		Map<String, Ownership> engines, Map<String, ControlRecord.Quarantine> quarantined, Set<String> draining) {

	/** State of an empty stream. */
	public static final ControlState EMPTY = new ControlState(0, Map.of(), Map.of(), Map.of(), Map.of(), Set.of());

	public Ownership shardOwnership(ShardId shard) {
		return this.shards.getOrDefault(shard, Ownership.NONE);
	}

	public Ownership engineOwnership(String name) {
		return this.engines.getOrDefault(name, Ownership.NONE);
	}

}

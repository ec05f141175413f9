package org.hemlockgw.core.control;

import java.util.Map;
import java.util.Set;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;

/**
 * Fold of the control stream.
 *
 * @param offset next offset to read
 * @param incarnations current incarnation of each VM, by VM name; a VM reported down is
 * missing until it starts again
 * @param shards holders by shard; a shard never claimed is missing
 * @param engines holders by engine name
 * @param quarantined quarantine records by digest
 * @param draining VM names of daemons that shut down
 */
public record ControlState(long offset, Map<String, Incarnation> incarnations, Map<ShardId, Ownership> shards,
		Map<String, Ownership> engines, Map<String, ControlRecord.Quarantine> quarantined, Set<String> draining) {

	/** Fold of an empty stream. */
	public static final ControlState EMPTY = new ControlState(0, Map.of(), Map.of(), Map.of(), Map.of(), Set.of());

	public Ownership shardOwnership(ShardId shard) {
		return this.shards.getOrDefault(shard, Ownership.NONE);
	}

	public Ownership engineOwnership(String name) {
		return this.engines.getOrDefault(name, Ownership.NONE);
	}

}

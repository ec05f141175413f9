package org.hemlockgw.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.RendezvousHash;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.StableHash;
import org.hemlockgw.core.control.ControlState;

/**
 * Assignment of shards and engines to a given set of daemons. Computing it takes one hash
 * score per shard and daemon, so an assignment is reused while the set of daemons does
 * not change.
 */
public final class Assignment {

	private final List<Vm> daemons;

	private final String[] shardOwners = new String[ShardId.COUNT];

	private Assignment(List<Vm> daemons) {
		this.daemons = daemons;
		long[] nodeHashes = daemons.stream().mapToLong((vm) -> StableHash.of(vm.name())).toArray();
		for (int shard = 0; shard < ShardId.COUNT && nodeHashes.length > 0; shard++) {
			this.shardOwners[shard] = daemons.get(highestScoring(StableHash.mix(shard + 1L), nodeHashes)).name();
		}
	}

	/**
	 * Returns the assignment for the daemons that may own shards.
	 * @param state control state
	 * @param vms the VM list
	 * @param previous an earlier assignment, which is returned if its daemons are
	 * unchanged; may be null
	 * @return the assignment
	 */
	public static Assignment of(ControlState state, Collection<Vm> vms, @Nullable Assignment previous) {
		List<Vm> daemons = vms.stream()
			.filter((vm) -> vm.kind() == VmKind.ENTRY && vm.state() == VmState.LIVE)
			.filter((vm) -> state.incarnations().containsKey(vm.name()) && !state.draining().contains(vm.name()))
			.sorted(Comparator.comparing(Vm::name))
			.toList();
		return (previous != null && previous.daemons.equals(daemons)) ? previous : new Assignment(daemons);
	}

	/**
	 * Returns the daemon to which a shard is assigned.
	 * @param shard the shard
	 * @return name of the daemon's VM, or {@code null} if there are no daemons
	 */
	public @Nullable String shardOwner(ShardId shard) {
		return this.shardOwners[shard.value()];
	}

	/**
	 * Returns the daemon that is assigned to dispatch to an engine.
	 * @param engine name of the engine
	 * @param dataCentre data centre of the engine; its daemons are preferred
	 * @return name of the daemon's VM, or {@code null} if there are no daemons
	 */
	public @Nullable String engineOwner(String engine, String dataCentre) {
		List<Vm> localDaemons = this.daemons.stream().filter((vm) -> vm.dataCentre().equals(dataCentre)).toList();
		Vm best = DaemonSelection.select(engine, localDaemons.isEmpty() ? this.daemons : localDaemons);
		return (best != null) ? best.name() : null;
	}

	private int highestScoring(long key, long[] nodeHashes) {
		int best = 0;
		double bestScore = -1;
		for (int i = 0; i < nodeHashes.length; i++) {
			double score = RendezvousHash.score(key, nodeHashes[i], this.daemons.get(i).weight());
			if (score > bestScore) {
				best = i;
				bestScore = score;
			}
		}
		return best;
	}

}

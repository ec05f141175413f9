package org.hemlockgw.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.common.StableHash;
import org.hemlockgw.core.control.ControlState;

/**
 * Which daemon is to hold each shard and engine, for one set of daemons. Computing it
 * costs one score per shard and daemon, so it is kept while the daemons stay the same.
 */
public final class Assignment {

	private final List<Vm> daemons;

	private final String[] shards = new String[ShardId.COUNT];

	private Assignment(List<Vm> daemons) {
		this.daemons = daemons;
		long[] nodes = daemons.stream().mapToLong((vm) -> StableHash.of(vm.name())).toArray();
		for (int shard = 0; shard < ShardId.COUNT && nodes.length > 0; shard++) {
			this.shards[shard] = daemons.get(best(StableHash.mix(shard + 1L), nodes)).name();
		}
	}

	/**
	 * Returns the assignment for the daemons that may take shards.
	 * @param state control state
	 * @param vms the VM list
	 * @param earlier an earlier assignment, which is returned when nothing changed
	 * @return the assignment
	 */
	public static Assignment of(ControlState state, Collection<Vm> vms, @Nullable Assignment earlier) {
		List<Vm> daemons = vms.stream()
			.filter((vm) -> vm.kind() == VmKind.ENTRY && vm.state() == VmState.LIVE)
			.filter((vm) -> state.incarnations().containsKey(vm.name()) && !state.draining().contains(vm.name()))
			.sorted(Comparator.comparing(Vm::name))
			.toList();
		return (earlier != null && earlier.daemons.equals(daemons)) ? earlier : new Assignment(daemons);
	}

	/**
	 * Returns the daemon that is to hold a shard.
	 * @param shard the shard
	 * @return name of its VM, or {@code null} when there are no daemons
	 */
	public @Nullable String shardOwner(ShardId shard) {
		return this.shards[shard.value()];
	}

	/**
	 * Returns the daemon that is to dispatch to an engine.
	 * @param engine name of the engine
	 * @param dataCentre its data centre, whose daemons are preferred
	 * @return name of the VM, or {@code null} when there are no daemons
	 */
	public @Nullable String engineOwner(String engine, String dataCentre) {
		List<Vm> near = this.daemons.stream().filter((vm) -> vm.dataCentre().equals(dataCentre)).toList();
		Vm best = RendezvousHash.select(engine, near.isEmpty() ? this.daemons : near);
		return (best != null) ? best.name() : null;
	}

	private int best(long key, long[] nodes) {
		int best = 0;
		double bestScore = -1;
		for (int i = 0; i < nodes.length; i++) {
			double score = RendezvousHash.score(key, nodes[i], this.daemons.get(i).weight());
			if (score > bestScore) {
				best = i;
				bestScore = score;
			}
		}
		return best;
	}

}

package org.hemlockgw.core.membership;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.Ownership;

/**
 * What one daemon is to claim and to release.
 *
 * @param claimShards epoch of the claim by shard
 * @param releaseShards epoch held by shard
 * @param claimEngines epoch of the claim by engine
 * @param releaseEngines engines held
 */
public record OwnershipPlan(Map<ShardId, Long> claimShards, Map<ShardId, Long> releaseShards,
		Map<String, Long> claimEngines, Set<String> releaseEngines) {

	/** Nothing to do. */
	public static final OwnershipPlan NONE = new OwnershipPlan(Map.of(), Map.of(), Map.of(), Set.of());

	/**
	 * Computes the plan of a daemon. A daemon that is missing from the VM list does
	 * nothing, because the list lags and may be empty at start.
	 * @param self the daemon's incarnation
	 * @param state control state
	 * @param vms the VM list by name
	 * @param assignment assignment for that state and list
	 * @param engines data centre by engine
	 * @return the plan
	 */
	public static OwnershipPlan of(Incarnation self, ControlState state, Map<String, Vm> vms, Assignment assignment,
			Map<String, String> engines) {
		Vm vm = vms.get(self.vm());
		if (vm == null || !self.equals(state.incarnations().get(self.vm()))) {
			return NONE;
		}
		if (vm.state() != VmState.LIVE) {
			return releaseAll(self, state);
		}
		OwnershipPlan plan = new OwnershipPlan(new TreeMap<>(), new TreeMap<>(), new TreeMap<>(), new TreeSet<>());
		for (int i = 0; i < ShardId.COUNT; i++) {
			ShardId shard = new ShardId(i);
			Ownership holder = state.shardOwnership(shard);
			boolean wanted = self.vm().equals(assignment.shardOwner(shard));
			if (wanted && !held(holder, state, vms)) {
				plan.claimShards.put(shard, holder.epoch() + 1);
			}
			else if (!wanted && self.equals(holder.incarnation())) {
				plan.releaseShards.put(shard, holder.epoch());
			}
		}
		engines.forEach((engine, dataCentre) -> {
			Ownership holder = state.engineOwnership(engine);
			boolean wanted = self.vm().equals(assignment.engineOwner(engine, dataCentre));
			if (wanted && !held(holder, state, vms)) {
				plan.claimEngines.put(engine, holder.epoch() + 1);
			}
			else if (!wanted && self.equals(holder.incarnation())) {
				plan.releaseEngines.add(engine);
			}
		});
		state.engines().forEach((engine, holder) -> {
			if (self.equals(holder.incarnation()) && !engines.containsKey(engine)) {
				plan.releaseEngines.add(engine);
			}
		});
		return plan;
	}

	/**
	 * Computes the plan of a daemon that shuts down.
	 * @param self the daemon's incarnation
	 * @param state control state
	 * @return releases of all that it holds
	 */
	public static OwnershipPlan releaseAll(Incarnation self, ControlState state) {
		OwnershipPlan plan = new OwnershipPlan(Map.of(), new TreeMap<>(), Map.of(), new TreeSet<>());
		state.shards().forEach((shard, holder) -> {
			if (self.equals(holder.incarnation())) {
				plan.releaseShards.put(shard, holder.epoch());
			}
		});
		state.engines().forEach((engine, holder) -> {
			if (self.equals(holder.incarnation())) {
				plan.releaseEngines.add(engine);
			}
		});
		return plan;
	}

	/**
	 * Tells whether there is nothing to do.
	 * @return true when all parts are empty
	 */
	public boolean isEmpty() {
		return this.claimShards.isEmpty() && this.releaseShards.isEmpty() && this.claimEngines.isEmpty()
				&& this.releaseEngines.isEmpty();
	}

	// A VM that is gone from the VM list counts as down without a report.
	private static boolean held(Ownership holder, ControlState state, Map<String, Vm> vms) {
		Incarnation by = holder.incarnation();
		return by != null && by.equals(state.incarnations().get(by.vm())) && vms.containsKey(by.vm());
	}

}

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
 * Shards and engines that one daemon is to claim and to release.
 *
 * @param claimShards epoch of the claim by shard
 * @param releaseShards epoch currently held by shard
 * @param claimEngines epoch of the claim by engine
 * @param releaseEngines engines to release
 */
public record OwnershipPlan(Map<ShardId, Long> claimShards, Map<ShardId, Long> releaseShards,
		Map<String, Long> claimEngines, Set<String> releaseEngines) {

	/** Plan without claims and releases. */
	public static final OwnershipPlan NONE = new OwnershipPlan(Map.of(), Map.of(), Map.of(), Set.of());

	/**
	 * Computes the plan of a daemon. The plan is empty for a daemon that is missing from
	 * the VM list, because the list lags behind and may be empty at startup.
	 * @param self incarnation of the daemon
	 * @param state control state
	 * @param vms the VM list by name
	 * @param assignment assignment for this state and VM list
	 * @param engines data centres by engine
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
			boolean assigned = self.vm().equals(assignment.shardOwner(shard));
			if (assigned && !isHeld(holder, state, vms)) {
				plan.claimShards.put(shard, holder.epoch() + 1);
			}
			else if (!assigned && self.equals(holder.incarnation())) {
				plan.releaseShards.put(shard, holder.epoch());
			}
		}
		engines.forEach((engine, dataCentre) -> {
			Ownership holder = state.engineOwnership(engine);
			boolean assigned = self.vm().equals(assignment.engineOwner(engine, dataCentre));
			if (assigned && !isHeld(holder, state, vms)) {
				plan.claimEngines.put(engine, holder.epoch() + 1);
			}
			else if (!assigned && self.equals(holder.incarnation())) {
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
	 * Computes the plan of a daemon that is shutting down.
	 * @param self incarnation of the daemon
	 * @param state control state
	 * @return plan that releases everything the daemon holds
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
	 * Returns whether the plan has no claims and no releases.
	 * @return whether all parts are empty
	 */
	public boolean isEmpty() {
		return this.claimShards.isEmpty() && this.releaseShards.isEmpty() && this.claimEngines.isEmpty()
				&& this.releaseEngines.isEmpty();
	}

	// A VM that is missing from the VM list counts as down, even if no failure was
	// reported.
	private static boolean isHeld(Ownership holder, ControlState state, Map<String, Vm> vms) {
		Incarnation incarnation = holder.incarnation();
		return incarnation != null && incarnation.equals(state.incarnations().get(incarnation.vm()))
				&& vms.containsKey(incarnation.vm());
	}

}

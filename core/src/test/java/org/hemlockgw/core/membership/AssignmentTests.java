package org.hemlockgw.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlState;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class AssignmentTests {

	/**
	 * Tolerance in standard deviations of a binomial distribution; at most 12 daemons.
	 */
	private static final double TOLERANCE_STANDARD_DEVIATIONS = 4;

	// Guards against a membership change that moves shards of daemons that stay.
	@Property(seed = "31", tries = 50, shrinking = ShrinkingMode.OFF)
	void onlyShardsOfLeavingDaemonMove(@ForAll @IntRange(min = 2, max = 12) int count,
			@ForAll @IntRange(max = 1000) int salt) {
		List<Vm> vms = vms(count, salt);
		Vm leaving = vms.get(salt % count);
		Assignment before = Assignment.of(state(vms), vms, null);
		List<Vm> after = new ArrayList<>(vms);
		after.remove(leaving);
		Assignment reassigned = Assignment.of(state(vms), after, before);
		for (int i = 0; i < ShardId.COUNT; i++) {
			ShardId shard = new ShardId(i);
			if (!leaving.name().equals(before.shardOwner(shard))) {
				assertThat(reassigned.shardOwner(shard)).isEqualTo(before.shardOwner(shard));
			}
		}
	}

	// Guards against assigning as many shards to small VMs as to large ones.
	@Property(seed = "32", tries = 50, shrinking = ShrinkingMode.OFF)
	void shardCountsAreProportionalToWeights(@ForAll @IntRange(min = 2, max = 12) int count,
			@ForAll @IntRange(max = 1000) int salt) {
		List<Vm> vms = vms(count, salt);
		Assignment assignment = Assignment.of(state(vms), vms, null);
		Map<String, Integer> shares = new HashMap<>();
		for (int i = 0; i < ShardId.COUNT; i++) {
			shares.merge(String.valueOf(assignment.shardOwner(new ShardId(i))), 1, Integer::sum);
		}
		double total = vms.stream().mapToDouble(Vm::weight).sum();
		for (Vm vm : vms) {
			double share = vm.weight() / total;
			double sigma = Math.sqrt(ShardId.COUNT * share * (1 - share));
			assertWithMessage("shards of %s", vm).that((double) shares.getOrDefault(vm.name(), 0))
				.isWithin(TOLERANCE_STANDARD_DEVIATIONS * sigma)
				.of(ShardId.COUNT * share);
		}
	}

	// Guards against assigning shards to daemons that are leaving or have not started,
	// and
	// against assigning an engine to a dispatcher in another data centre while its own
	// has
	// daemons.
	@Example
	void onlyRunningDaemonsAreAssignedAndEnginesStayInTheirDataCentre() {
		List<Vm> vms = new ArrayList<>(vms(6, 1));
		ControlState state = state(vms);
		vms.set(0, with(vms.get(0), VmState.LEAVING));
		vms.add(new Vm("not-started", "127.0.0.1:1", null, "dc0", 1, VmKind.ENTRY, VmState.LIVE));
		Assignment assignment = Assignment.of(state, vms, null);
		for (int i = 0; i < ShardId.COUNT; i++) {
			assertThat(assignment.shardOwner(new ShardId(i))).isNotIn(List.of("vm0-1", "not-started"));
		}
		for (int i = 0; i < 50; i++) {
			assertThat(assignment.engineOwner("e" + i, "dc1")).isIn(List.of("vm1-1", "vm3-1", "vm5-1"));
			assertThat(assignment.engineOwner("e" + i, "elsewhere")).isNotNull();
		}
	}

	// Guards against a leaving daemon that keeps its shards or claims more.
	@Example
	void planOfLeavingDaemonClaimsNothing() {
		List<Vm> vms = new ArrayList<>(vms(3, 1));
		vms.set(0, with(vms.get(0), VmState.LEAVING));
		Map<String, Vm> byName = new HashMap<>();
		vms.forEach((vm) -> byName.put(vm.name(), vm));
		Incarnation self = new Incarnation("vm0-1", "i");
		ControlState state = state(vms);
		OwnershipPlan plan = OwnershipPlan.of(self, state, byName, Assignment.of(state, vms, null), Map.of("e", "dc0"));
		assertThat(plan.isEmpty()).isTrue();
	}

	// Guards against daemons without monitors.
	@Example
	void eachDaemonHasThreeMonitorsInItsDataCentreIfPossible() {
		List<Vm> vms = vms(10, 1);
		for (Vm vm : vms) {
			List<Vm> monitors = MonitorSelection.monitorsOf(vm, state(vms), vms);
			assertThat(monitors).hasSize(MonitorSelection.MONITORS_PER_DAEMON);
			assertThat(monitors).doesNotContain(vm);
			monitors.forEach((monitor) -> assertThat(monitor.dataCentre()).isEqualTo(vm.dataCentre()));
		}
		List<Vm> few = vms(4, 1);
		assertThat(MonitorSelection.monitorsOf(few.get(0), state(few), few)).hasSize(3);
	}

	private static List<Vm> vms(int count, int salt) {
		List<Vm> vms = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			vms.add(new Vm("vm" + i + "-" + salt, "127.0.0.1:1", null, "dc" + (i % 2), 0.5 + (i % 4) / 2.0,
					VmKind.ENTRY, VmState.LIVE));
		}
		return vms;
	}

	private static Vm with(Vm vm, VmState state) {
		return new Vm(vm.name(), vm.address(), vm.adminAddress(), vm.dataCentre(), vm.weight(), vm.kind(), state);
	}

	private static ControlState state(List<Vm> vms) {
		Map<String, Incarnation> incarnations = new HashMap<>();
		vms.forEach((vm) -> incarnations.put(vm.name(), new Incarnation(vm.name(), "i")));
		return new ControlState(0, incarnations, Map.of(), Map.of(), Map.of(), Set.of());
	}

}

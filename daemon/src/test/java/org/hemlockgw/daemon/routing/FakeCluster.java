package org.hemlockgw.daemon.routing;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.Ownership;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;

/**
 * A blackboard with three daemons, of which the first is this one.
 */
final class FakeCluster {

	static final ProgramId PROGRAM = new ProgramId("acme", "p1");

	static final Incarnation SELF = new Incarnation("vm-0", "a");

	static final Incarnation FIRST = new Incarnation("vm-1", "a");

	static final Incarnation SECOND = new Incarnation("vm-2", "a");

	final Blackboard blackboard = Blackboard.create();

	FakeCluster() {
		this.blackboard.vms().set(Map.of("vm-0", vm("vm-0"), "vm-1", vm("vm-1"), "vm-2", vm("vm-2")));
	}

	HolderLookup lookup() {
		return new HolderLookup(this.blackboard, () -> SELF);
	}

	void setOwner(Incarnation owner) {
		Ownership holder = new Ownership(1, owner, true, Instant.EPOCH, List.of(owner));
		this.blackboard.control().set(control(Map.of(PROGRAM.shard(), holder), Map.of()));
	}

	void setDispatcher(Incarnation owner) {
		Ownership holder = new Ownership(1, owner, true, Instant.EPOCH, List.of());
		this.blackboard.control().set(control(Map.of(), Map.of("e1", holder)));
	}

	private static ControlState control(Map<ShardId, Ownership> shards, Map<String, Ownership> engines) {
		return new ControlState(0, Map.of("vm-0", SELF, "vm-1", FIRST, "vm-2", SECOND), shards, engines, Map.of(),
				Set.of());
	}

	private static Vm vm(String name) {
		return new Vm(name, "address of " + name, null, "dc", 1, VmKind.ENTRY, VmState.LIVE);
	}

}

package org.hemlockgw.daemon.routing;

import java.util.Optional;
import java.util.function.Supplier;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.Ownership;
import org.hemlockgw.core.membership.Vm;

/**
 * Finds the daemon that holds a shard or an engine according to the blackboard.
 */
public final class HolderLookup {

	private final Blackboard blackboard;

	private final Supplier<Incarnation> self;

	public HolderLookup(Blackboard blackboard, Supplier<Incarnation> self) {
		this.blackboard = blackboard;
		this.self = self;
	}

	Optional<Location> shard(ShardId shard) {
		ControlState control = this.blackboard.control().get();
		Ownership holder = control.shardOwnership(shard);
		// Before its take-over is complete the claimant refuses every call.
		return holder.ready() ? locate(control, holder) : Optional.empty();
	}

	Optional<Location> engine(String engine) {
		ControlState control = this.blackboard.control().get();
		return locate(control, control.engineOwnership(engine));
	}

	private Optional<Location> locate(ControlState control, Ownership holder) {
		Incarnation incarnation = holder.incarnation();
		if (incarnation == null) {
			return Optional.empty();
		}
		if (incarnation.equals(this.self.get())) {
			return Optional.of(new Location(incarnation, true, ""));
		}
		if (!incarnation.equals(control.incarnations().get(incarnation.vm()))) {
			return Optional.empty();
		}
		Vm vm = this.blackboard.vms().get().get(incarnation.vm());
		return (vm != null) ? Optional.of(new Location(incarnation, false, vm.address())) : Optional.empty();
	}

	/**
	 * Where a holder is.
	 *
	 * @param incarnation the holder
	 * @param local whether it is this daemon
	 * @param address address of its peer listener; empty for this daemon
	 */
	record Location(Incarnation incarnation, boolean local, String address) {
	}

}

package org.hemlockgw.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.hemlockgw.core.control.ControlState;

/**
 * Chooses which daemons send heartbeats to which.
 */
public final class MonitorSelection {

	/** Monitors of each daemon; three make a missed failure unlikely at constant cost. */
	public static final int MONITORS_PER_DAEMON = 3;

	private MonitorSelection() {
	}

	/**
	 * Returns the monitors of a daemon: others of its data centre, and of the rest when
	 * the data centre has too few.
	 * @param target the daemon's VM
	 * @param state control state; a daemon without a current incarnation monitors nobody
	 * @param vms the VM list
	 * @return at most {@link #MONITORS_PER_DAEMON} VMs
	 */
	public static List<Vm> monitorsOf(Vm target, ControlState state, Collection<Vm> vms) {
		List<Vm> near = new ArrayList<>();
		List<Vm> far = new ArrayList<>();
		for (Vm vm : vms) {
			if (!running(vm, state) || vm.name().equals(target.name())) {
				continue;
			}
			(vm.dataCentre().equals(target.dataCentre()) ? near : far).add(vm);
		}
		List<Vm> chosen = new ArrayList<>(RendezvousHash.topUnweighted(target.name(), near, MONITORS_PER_DAEMON));
		chosen.addAll(RendezvousHash.topUnweighted(target.name(), far, MONITORS_PER_DAEMON - chosen.size()));
		return chosen;
	}

	/**
	 * Returns the daemons that one daemon monitors.
	 * @param monitor name of the monitoring daemon's VM
	 * @param state control state
	 * @param vms the VM list
	 * @return the VMs with a current incarnation
	 */
	public static List<Vm> targetsOf(String monitor, ControlState state, Collection<Vm> vms) {
		return vms.stream()
			.filter((vm) -> running(vm, state) && !vm.name().equals(monitor))
			.filter((vm) -> monitorsOf(vm, state, vms).stream().anyMatch((by) -> by.name().equals(monitor)))
			.toList();
	}

	private static boolean running(Vm vm, ControlState state) {
		return vm.kind() == VmKind.ENTRY && state.incarnations().containsKey(vm.name());
	}

}

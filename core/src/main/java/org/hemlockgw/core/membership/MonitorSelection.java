package org.hemlockgw.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.hemlockgw.core.control.ControlState;

/**
 * Selects which daemons monitor which other daemons by heartbeats.
 */
public final class MonitorSelection {

	/**
	 * Number of monitors of each daemon. Three monitors make an undetected failure
	 * unlikely at a constant cost per daemon.
	 */
	public static final int MONITORS_PER_DAEMON = 3;

	private MonitorSelection() {
	}

	/**
	 * Returns the monitors of a daemon. Daemons of the same data centre are preferred;
	 * those of other data centres are used if there are too few.
	 * @param target the VM of the monitored daemon
	 * @param state control state; a daemon without a current incarnation monitors no
	 * others
	 * @param vms the VM list
	 * @return at most {@link #MONITORS_PER_DAEMON} VMs
	 */
	public static List<Vm> monitorsOf(Vm target, ControlState state, Collection<Vm> vms) {
		List<Vm> local = new ArrayList<>();
		List<Vm> remote = new ArrayList<>();
		for (Vm vm : vms) {
			if (!isRunning(vm, state) || vm.name().equals(target.name())) {
				continue;
			}
			(vm.dataCentre().equals(target.dataCentre()) ? local : remote).add(vm);
		}
		List<Vm> selected = new ArrayList<>(DaemonSelection.topUnweighted(target.name(), local, MONITORS_PER_DAEMON));
		selected.addAll(DaemonSelection.topUnweighted(target.name(), remote, MONITORS_PER_DAEMON - selected.size()));
		return selected;
	}

	/**
	 * Returns the daemons that a daemon monitors.
	 * @param monitor name of the monitoring daemon's VM
	 * @param state control state
	 * @param vms the VM list
	 * @return the VMs of the monitored daemons, all with a current incarnation
	 */
	public static List<Vm> targetsOf(String monitor, ControlState state, Collection<Vm> vms) {
		return vms.stream()
			.filter((vm) -> isRunning(vm, state) && !vm.name().equals(monitor))
			.filter((vm) -> monitorsOf(vm, state, vms).stream().anyMatch((other) -> other.name().equals(monitor)))
			.toList();
	}

	private static boolean isRunning(Vm vm, ControlState state) {
		return vm.kind() == VmKind.ENTRY && state.incarnations().containsKey(vm.name());
	}

}

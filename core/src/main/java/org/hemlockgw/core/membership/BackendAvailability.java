package org.hemlockgw.core.membership;

import java.util.Map;

import org.hemlockgw.core.config.BackendServer;

/**
 * Tells which backend servers take new work.
 */
public final class BackendAvailability {

	private BackendAvailability() {
	}

	/**
	 * Tells whether a backend server takes new work. One that the VM list does not show
	 * is accepted, because the list lags and need not hold every backend server.
	 * @param server the backend server
	 * @param vms the VM list by name; a backend server's VM has its name
	 * @return false when the configuration or the VM list says that it is leaving
	 */
	public static boolean acceptsWork(BackendServer server, Map<String, Vm> vms) {
		if (server.leaving()) {
			return false;
		}
		Vm vm = vms.get(server.name());
		return vm == null || vm.state() == VmState.LIVE;
	}

}

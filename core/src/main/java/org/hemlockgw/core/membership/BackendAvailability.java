package org.hemlockgw.core.membership;

import java.util.Map;

import org.hemlockgw.core.config.BackendServer;

/**
 * Determines which backend servers accept new work.
 */
public final class BackendAvailability {

	private BackendAvailability() {
	}

	/**
	 * Returns whether a backend server accepts new work. A server that is missing from
	 * the VM list is considered available, because the list lags behind and need not
	 * contain every backend server.
	 * @param server the backend server
	 * @param vms the VM list by name; the VM of a backend server has the server's name
	 * @return false if the server is leaving according to the configuration or the VM
	 * list
	 */
	public static boolean acceptsWork(BackendServer server, Map<String, Vm> vms) {
		if (server.leaving()) {
			return false;
		}
		Vm vm = vms.get(server.name());
		return vm == null || vm.state() == VmState.LIVE;
	}

}

package org.hemlockgw.core.membership;

import org.jspecify.annotations.Nullable;

/**
 * Entry of the VM list.
 *
 * @param name unique name
 * @param address IP address and port: the peer listener of a daemon or the service port
 * of a backend server
 * @param adminAddress IP address and port of the admin listener of a daemon; null if
 * there is none
 * @param dataCentre name of the data centre
 * @param weight relative capacity, usually 1.0
 * @param kind kind of process that runs on the VM
 * @param state state of the VM
 */
public record Vm(String name, String address, @Nullable String adminAddress, String dataCentre, double weight,
		VmKind kind, VmState state) {
}

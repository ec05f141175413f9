package org.hemlockgw.core.membership;

import org.jspecify.annotations.Nullable;

/**
 * An entry of the VM list.
 *
 * @param name unique name
 * @param address IP number and port: the peer listener of a daemon, the service port of a
 * backend server
 * @param adminAddress IP number and port of a daemon's admin listener
 * @param dataCentre name of the data centre
 * @param weight relative size; 1.0 is usual
 * @param kind what the VM runs
 * @param state live or leaving
 */
public record Vm(String name, String address, @Nullable String adminAddress, String dataCentre, double weight,
		VmKind kind, VmState state) {
}

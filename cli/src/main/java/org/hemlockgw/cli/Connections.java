package org.hemlockgw.cli;

import java.util.List;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;

import org.hemlockgw.core.config.IpAndPort;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.platform.LogService;

/**
 * Options that say where the platform is.
 */
final class Connections {

	@Option(names = "--log", paramLabel = "IP:PORT", defaultValue = "${env:HEMLOCK_LOG}",
			description = "Log service (default: environment variable HEMLOCK_LOG).")
	private @Nullable String log;

	@Option(names = "--vm-list", paramLabel = "IP:PORT", defaultValue = "${env:HEMLOCK_VM_LIST}",
			description = "VM list (default: environment variable HEMLOCK_VM_LIST).")
	private @Nullable String vmList;

	LogService log(Platform platform) {
		return platform.log().apply(address(this.log, "--log", "HEMLOCK_LOG"));
	}

	List<Vm> daemons(Platform platform) {
		String address = address(this.vmList, "--vm-list", "HEMLOCK_VM_LIST");
		List<Vm> all = Await.result(platform.vmList().apply(address).list(), Timeouts.REQUEST);
		return all.stream().filter((vm) -> vm.kind() == VmKind.ENTRY).toList();
	}

	private static String address(@Nullable String value, String option, String variable) {
		if (value == null || value.isEmpty()) {
			throw CommandFailure.invalid("Missing address: give " + option + " or set " + variable);
		}
		if (!IpAndPort.isValid(value, 1)) {
			throw CommandFailure.invalid(option + " = \"" + value + "\"; allowed: " + IpAndPort.ALLOWED);
		}
		return value;
	}

}

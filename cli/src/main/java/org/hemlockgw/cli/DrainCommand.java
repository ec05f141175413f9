package org.hemlockgw.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.remote.admin.AdminClient;

/**
 * Asks one daemon to shut down gracefully.
 */
@Command(name = "drain", description = "Starts the graceful shutdown of the daemon on a VM.")
final class DrainCommand implements Callable<Integer> {

	private static final int ACCEPTED = 202;

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Parameters(paramLabel = "VM", description = "Name of the VM in the VM list.")
	private String name = "";

	DrainCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		Vm vm = this.connections.daemons(this.platform)
			.stream()
			.filter((candidate) -> candidate.name().equals(this.name))
			.findFirst()
			.orElseThrow(() -> CommandFailure.failed("The VM list has no daemon " + this.name));
		String address = vm.adminAddress();
		if (address == null) {
			throw CommandFailure.failed("The VM list names no admin address of " + this.name);
		}
		AdminClient.Response response = Await.result(this.platform.admin().send("POST", address, "/drain"),
				Timeouts.REQUEST);
		if (response.status() != ACCEPTED) {
			throw CommandFailure.failed(this.name + " answered status " + response.status() + ": " + response.body());
		}
		this.spec.commandLine().getOut().println(this.name + " is draining");
		return ExitStatus.DONE;
	}

}

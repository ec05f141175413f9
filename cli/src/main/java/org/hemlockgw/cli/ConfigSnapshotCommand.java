package org.hemlockgw.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.platform.LogService;

/**
 * Appends a snapshot of the version in force.
 */
@Command(name = "snapshot", description = "Appends a snapshot, so that the version in force outlives old records.")
final class ConfigSnapshotCommand implements Callable<Integer> {

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	ConfigSnapshotCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		LogService log = this.connections.log(this.platform);
		ConfigState state = Await.result(new ConfigStreamReader(log).load(), Timeouts.LOAD);
		long offset = Await.result(log.append(ConfigStreamReader.NAME, ConfigCodec.encode(state.toSnapshot())),
				Timeouts.REQUEST);
		this.spec.commandLine().getOut().println("snapshot of version " + state.version() + " at offset " + offset);
		return ExitStatus.DONE;
	}

}

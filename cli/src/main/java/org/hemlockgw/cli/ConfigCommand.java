package org.hemlockgw.cli;

import picocli.CommandLine.Command;

/**
 * Group of the configuration commands.
 */
@Command(name = "config", description = "Changes and shows the configuration.",
		subcommands = { ConfigPatchCommand.class, ConfigShowCommand.class, ConfigLogCommand.class,
				ConfigBlameCommand.class, ConfigCheckCommand.class, ConfigSnapshotCommand.class })
final class ConfigCommand {

}

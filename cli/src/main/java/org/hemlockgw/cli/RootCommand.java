package org.hemlockgw.cli;

import picocli.CommandLine.Command;

/**
 * Group of all commands.
 */
@Command(name = "hemlockctl", mixinStandardHelpOptions = true, version = "hemlockctl 0.1.0",
		description = "Changes the configuration of hemlockgw and shows what its daemons do.",
		subcommands = { ConfigCommand.class, StatusCommand.class, ExplainCommand.class, TraceCommand.class,
				DrainCommand.class })
final class RootCommand {

}

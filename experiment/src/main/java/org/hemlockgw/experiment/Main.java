package org.hemlockgw.experiment;

import picocli.CommandLine;
import picocli.CommandLine.Command;

import org.hemlockgw.experiment.capacity.CapacityCommand;
import org.hemlockgw.experiment.placement.PlacementCommand;
import org.hemlockgw.experiment.policy.PolicyCommand;
import org.hemlockgw.experiment.policy.RankingCommand;

/**
 * Entry point of the load tool and the measurements.
 */
@Command(name = "experiment", mixinStandardHelpOptions = true,
		subcommands = { CapacityCommand.class, PlacementCommand.class, PolicyCommand.class, RankingCommand.class },
		description = "Measurements of hemlockgw.")
public final class Main {

	private Main() {
	}

	/**
	 * Runs a subcommand and exits with its status.
	 * @param args command line arguments
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(new Main()).execute(args));
	}

}

package org.hemlockgw.experiment.placement;

import java.io.PrintWriter;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.pool.PoolScheduler;

/**
 * {@code bin/experiment placement}: compares the choice of servers with the former rule.
 */
@Command(name = "placement", mixinStandardHelpOptions = true,
		description = "Compares the choice of servers with the former rule, and hash functions with each other.")
public final class PlacementCommand implements Runnable {

	@Spec
	private @Nullable CommandSpec spec;

	@Parameters(arity = "0..*", defaultValue = "1", description = "Seeds (default: ${DEFAULT-VALUE}).")
	private long[] seeds = { 1 };

	@Option(names = "--load", split = ",", defaultValue = "1",
			description = "Factors of the rate of programs (default: ${DEFAULT-VALUE}).")
	private double[] loads = { 1 };

	@Option(names = "--runs-only", description = "Omits decision times and hash functions.")
	private boolean runsOnly;

	@Override
	public void run() {
		PrintWriter print = Objects.requireNonNull(this.spec).commandLine().getOut();
		print.println(PlacementResult.HEADER);
		for (double load : this.loads) {
			for (long seed : this.seeds) {
				print.println(new PlacementRun(seed, load, FormerRule::new).run().format("former", seed, load));
				print.println(new PlacementRun(seed, load, (clock) -> {
					PoolScheduler scheduler = new PoolScheduler(clock);
					scheduler.setMemoryTokens(EngineModel.MEMORY_TOKENS);
					return SlotScheduler.of(scheduler);
				}).run().format("new", seed, load));
				print.flush();
			}
		}
		if (!this.runsOnly) {
			DecisionTimes.print(print);
			HashComparison.print(print, this.seeds[0]);
		}
		print.flush();
	}

}

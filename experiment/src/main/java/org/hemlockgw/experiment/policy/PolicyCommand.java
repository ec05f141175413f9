package org.hemlockgw.experiment.policy;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * {@code bin/experiment policy}: compares the policies on one workload.
 */
@Command(name = "policy", mixinStandardHelpOptions = true,
		description = "Compares scheduling policies in virtual time. The same seed gives the same figures.")
public final class PolicyCommand implements Callable<Integer> {

	private static final double TARGET_BUSY = 0.8;

	private static final int BISECTIONS = 10;

	@Spec
	private @Nullable CommandSpec spec;

	@Option(names = "--seed", defaultValue = "1", description = "Seed of the workload (default: ${DEFAULT-VALUE}).")
	private long seed = 1;

	@Option(names = "--seconds", defaultValue = "900",
			description = "Length of the arrival period in virtual seconds (default: ${DEFAULT-VALUE}).")
	private double seconds = 900;

	@Option(names = "--out", description = "Directory for policy.csv and policy.svg.")
	private @Nullable Path out;

	@Override
	public Integer call() throws IOException {
		PrintWriter print = (this.spec != null) ? this.spec.commandLine().getOut() : new PrintWriter(System.out, true);
		double rate = rateAtTargetBusy();
		print.printf(Locale.ROOT, "seed %d, %.0f s, %.3f programs/s: busiest engine of the baseline %.0f %% busy%n",
				this.seed, this.seconds, rate, TARGET_BUSY * 100);
		List<Outcome> normal = compare(rate, 1, false);
		PolicyReport.table(print, "steady load", normal);
		PolicyReport.table(print, "engine 1 slows to half, engine 2 leaves", compare(rate, 1, true));
		List<Outcome> flood = compare(rate, 10, false);
		PolicyReport.table(print, "account0 offers ten times its share", flood);
		PolicyReport.flood(print, normal, flood);
		PolicyReport.overload(print, this::overload);
		print.flush();
		if (this.out != null) {
			Files.createDirectories(this.out);
			PolicyReport.csv(this.out.resolve("policy.csv"), normal);
			PolicyPlot.write(this.out.resolve("policy.svg"), normal);
		}
		return 0;
	}

	private List<Outcome> compare(double rate, double flood, boolean faults) {
		List<Outcome> outcomes = new ArrayList<>();
		for (PolicyKind kind : PolicyKind.values()) {
			outcomes.add(new PolicyRun(kind, Scenario.create(this.seed, rate, this.seconds, flood, faults)).run());
		}
		return outcomes;
	}

	private Outcome overload(double rate) {
		return new PolicyRun(PolicyKind.HEMLOCK_LATENCY, Scenario.create(this.seed, rate, this.seconds, 1, false))
			.run();
	}

	private double rateAtTargetBusy() {
		double low = 0.01;
		double high = 20;
		for (int i = 0; i < BISECTIONS; i++) {
			double middle = Math.sqrt(low * high);
			Outcome outcome = new PolicyRun(PolicyKind.BASELINE,
					Scenario.create(this.seed, middle, this.seconds, 1, false))
				.run();
			if (outcome.busiest() < TARGET_BUSY) {
				low = middle;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

}

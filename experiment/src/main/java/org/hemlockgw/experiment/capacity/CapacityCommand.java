package org.hemlockgw.experiment.capacity;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Instant;
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
 * {@code bin/experiment capacity}: measures the slopes that docs/CAPACITY.md works with.
 */
@Command(name = "capacity", mixinStandardHelpOptions = true,
		description = "Measures how state, memory, processor time and messages grow with the sizes.")
public final class CapacityCommand implements Callable<Integer> {

	private static final List<Slope> SLOPES = List.of(new ControlStateSlope(), new OwnershipSlope(),
			new ConfigurationSlope(), new LedgerRecordSlope(), new ProgramMemorySlope(), new TakeOverSlope(),
			new EngineChoiceSlope(), new FairQueueSlope(), new SchedulerSlope(), new PeerFrameSlope(),
			new VmListSlope(), new LogAppendSlope(), new LedgerWriterSlope());

	@Spec
	private @Nullable CommandSpec spec;

	@Option(names = "--repetitions", defaultValue = "3",
			description = "Repetitions of each measurement, of which the median counts (default: ${DEFAULT-VALUE}).")
	private int repetitions = 3;

	@Option(names = "--warm-up-ms", defaultValue = "100",
			description = "Warm-up of each timing in ms (default: ${DEFAULT-VALUE}).")
	private long warmUpMs = 100;

	@Option(names = "--out", description = "Directory for capacity-figures.csv and capacity-fits.csv.")
	private @Nullable Path out;

	@Override
	public Integer call() throws Exception {
		PrintWriter print = (this.spec != null) ? this.spec.commandLine().getOut() : new PrintWriter(System.out, true);
		Runtime runtime = Runtime.getRuntime();
		long start = System.nanoTime();
		print.printf(Locale.ROOT, "%s, %d cores, heap limit %d MB, JDK %s%n", Instant.now(),
				runtime.availableProcessors(), runtime.maxMemory() >> 20, System.getProperty("java.runtime.version"));
		Measure measure = new Measure(this.repetitions, this.warmUpMs);
		List<Series> all = new ArrayList<>();
		for (Slope slope : SLOPES) {
			for (Series series : slope.measure(measure)) {
				CapacityReport.print(print, series);
				all.add(series);
			}
		}
		print.printf(Locale.ROOT, "hop latency of the whole path: not measured%n");
		print.printf(Locale.ROOT, "finished in %.0f s%n", (System.nanoTime() - start) / 1e9);
		print.flush();
		if (this.out != null) {
			CapacityReport.csv(this.out, all);
		}
		return 0;
	}

	static List<String> names() {
		return SLOPES.stream().map(Slope::name).toList();
	}

}

package org.hemlockgw.experiment.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.HdrHistogram.Histogram;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.ImmutableMaps;
import org.hemlockgw.core.config.CheckResult;
import org.hemlockgw.core.config.ConfigChecker;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.dispatch.EngineQuery;
import org.hemlockgw.daemon.dispatch.CompletionEngineChooser;

/**
 * Time of one engine choice, and of one update of the engine load map.
 */
final class EngineChoiceSlope implements Slope {

	private static final int[] ENGINES = { 12, 120, 600, Samples.ENGINES };

	private static final int CHOICES = 500;

	private static final int WARM_UP = 500;

	private static final double P99 = 99;

	private static final double MEDIAN = 50;

	@Override
	public String name() {
		return "engines";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		Series median = Series.measure("engines.choice.p50", "us", "engines", ENGINES,
				(n) -> measure.median(() -> choose(n, MEDIAN)));
		Series p99 = Series.measure("engines.choice.p99", "us", "engines", ENGINES,
				(n) -> measure.median(() -> choose(n, P99)));
		Series update = Series.measure("engines.load.update", "us", "engines", ENGINES, (n) -> {
			Blackboard board = board(n);
			return measure.cpuUs(() -> board.engineLoads().update((loads) -> withLoad(loads, load(1))));
		});
		Series copied = Series.measure("engines.lookup.copyof", "us", "engines", ENGINES,
				(n) -> lookupUs(measure, Map.copyOf(board(n).engineLoads().get())));
		Series hashed = Series.measure("engines.lookup.hashmap", "us", "engines", ENGINES,
				(n) -> lookupUs(measure, new HashMap<>(board(n).engineLoads().get())));
		return List.of(median, p99, update, copied, hashed);
	}

	// Looks every engine up once. Map.copyOf probes linearly, so names that differ in
	// their last digits only make long probe sequences.
	private static double lookupUs(Measure measure, Map<String, EngineLoad> loads) {
		List<String> names = List.copyOf(loads.keySet());
		return measure.cpuUs(() -> names.forEach((name) -> Objects.requireNonNull(loads.get(name))));
	}

	private static double choose(int engines, double percentile) {
		CompletionEngineChooser chooser = new CompletionEngineChooser(board(engines));
		Histogram histogram = new Histogram(3);
		for (int i = 0; i < WARM_UP + CHOICES; i++) {
			EngineQuery query = new EngineQuery(Samples.program(i), "model-" + i % Samples.MODELS, 8000,
					Samples.engine(i % engines), 7000, Set.of());
			long start = Measure.threadCpuNs();
			boolean found = chooser.choose(query).isPresent();
			long time = Measure.threadCpuNs() - start;
			if (!found) {
				throw new IllegalStateException("no engine for " + query.model());
			}
			if (i >= WARM_UP) {
				histogram.recordValue(time);
			}
		}
		return histogram.getValueAtPercentile(percentile) / 1000.0;
	}

	private static Blackboard board(int engines) {
		Blackboard board = Blackboard.create();
		CheckResult checked = ConfigChecker.check(1, Samples.document(Samples.ACCOUNTS, engines));
		board.configuration().set(Objects.requireNonNull(checked.configuration()));
		board.vms().set(Samples.vms(Samples.DAEMONS, engines));
		Map<String, EngineLoad> loads = new HashMap<>();
		for (int i = 0; i < engines; i++) {
			loads.put(Samples.engine(i), load(i));
		}
		board.engineLoads().set(ImmutableMaps.copyOf(loads));
		return board;
	}

	private static EngineLoad load(int i) {
		return new EngineLoad(Samples.engine(i), i % 5, 16, 32, 40_000 + i, 8000, 1500, Samples.NOW);
	}

	// Same steps as EngineLane and ModelTurn, whose methods are not public.
	private static Map<String, EngineLoad> withLoad(Map<String, EngineLoad> loads, EngineLoad load) {
		Map<String, EngineLoad> next = new HashMap<>(loads);
		next.put(load.engine(), load);
		return ImmutableMaps.copyOf(next);
	}

}

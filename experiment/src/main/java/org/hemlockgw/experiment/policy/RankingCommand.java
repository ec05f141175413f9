package org.hemlockgw.experiment.policy;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * {@code bin/experiment ranking}: compares rankings of idle cache sessions when engine
 * memory is short.
 */
@Command(name = "ranking", mixinStandardHelpOptions = true,
		description = "Compares least recently used with the decaying popularity value at three cache sizes.")
public final class RankingCommand implements Runnable {

	private static final long[] CACHE_TOKENS = { 30_000, 60_000, 120_000 };

	@Spec
	private @Nullable CommandSpec spec;

	@Option(names = "--seeds", defaultValue = "5", description = "Seeds 1 to N (default: ${DEFAULT-VALUE}).")
	private int seeds = 5;

	@Option(names = "--rate", defaultValue = "1.2", description = "Programs a second (default: ${DEFAULT-VALUE}).")
	private double rate = 1.2;

	@Override
	public void run() {
		PrintWriter print = Objects.requireNonNull(this.spec).commandLine().getOut();
		Map<String, SessionRanking> rankings = new LinkedHashMap<>();
		rankings.put("least recently used", SessionRanking.leastRecentlyUsed());
		for (int s : new int[] { 1, 5, 20 }) {
			rankings.put("popularity, " + s + " s", SessionRanking.popularity(Duration.ofSeconds(s)));
		}
		print.printf("%-20s %12s %14s %12s%n", "ranking", "cache tokens", "wasted tokens", "p95 s");
		for (long cache : CACHE_TOKENS) {
			rankings.forEach((name, ranking) -> row(print, name, cache, ranking));
		}
		print.flush();
	}

	private void row(PrintWriter print, String name, long cache, SessionRanking ranking) {
		long wasted = 0;
		double p95 = 0;
		for (int seed = 1; seed <= this.seeds; seed++) {
			Scenario scenario = Scenario.create(seed, this.rate, 300, 1, false).withCache(cache, ranking);
			Outcome outcome = new PolicyRun(PolicyKind.HEMLOCK_LATENCY, scenario).run();
			wasted += outcome.wastedTokens() / this.seeds;
			p95 += outcome.p95Seconds() / this.seeds;
		}
		print.printf(Locale.ROOT, "%-20s %12d %14d %12.2f%n", name, cache, wasted, p95);
	}

}

package org.hemlockgw.experiment.policy;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleFunction;

import org.HdrHistogram.Histogram;

/**
 * Prints outcomes as tables and writes them as CSV.
 */
final class PolicyReport {

	private static final String FLOODING_ACCOUNT = "account0";

	private PolicyReport() {
	}

	static void table(PrintWriter print, String title, List<Outcome> outcomes) {
		Outcome baseline = outcomes.get(0);
		print.printf("%n%s%n", title);
		print.printf("%-16s %9s %9s %9s %9s %9s %9s %9s %11s %12s %6s %6s %6s%n", "policy", "p50 s", "p95 s", "p99 s",
				"ttft95 ms", "itl95 ms", "p95/base", "waste/b", "wasted tok", "idle tok*s", "done", "shed", "busy%");
		for (Outcome o : outcomes) {
			print.printf(Locale.ROOT, "%-16s %9.2f %9.2f %9.2f %9.0f %9.1f %9.2f %9.2f %11d %12.0f %6d %6d %6.0f%n",
					o.policy(), seconds(o.programs(), 50), o.p95Seconds(), seconds(o.programs(), 99),
					o.firstToken().getValueAtPercentile(95) / 1e3, o.tokenInterval().getValueAtPercentile(95) / 1e3,
					o.p95Seconds() / baseline.p95Seconds(), o.wastedTokens() / Math.max(1.0, baseline.wastedTokens()),
					o.wastedTokens(), o.idleTokenSeconds(), o.finished(), o.shed(), o.meanBusy() * 100);
		}
	}

	/**
	 * Prints how much the flood of one account changes the others' latency.
	 * @param print where to
	 * @param normal outcomes without the flood
	 * @param flood outcomes with it
	 */
	static void flood(PrintWriter print, List<Outcome> normal, List<Outcome> flood) {
		print.printf("%np95 of the other accounts with the flood over without it (bound 1.2)%n");
		for (int i = 0; i < normal.size(); i++) {
			double ratio = p95OfOthers(flood.get(i)) / p95OfOthers(normal.get(i));
			print.printf(Locale.ROOT, "%-16s %6.2f%n", normal.get(i).policy(), ratio);
		}
	}

	/**
	 * Prints throughput from half the capacity to twice the capacity.
	 * @param print where to
	 * @param run runs the product's policy at a rate in programs a second
	 */
	static void overload(PrintWriter print, DoubleFunction<Outcome> run) {
		double capacity = 0;
		for (double rate = 0.25; rate < 64; rate *= 1.25) {
			Outcome outcome = run.apply(rate);
			capacity = rate;
			if (outcome.shed() > outcome.offered() * 0.02) {
				break;
			}
		}
		print.printf(Locale.ROOT, "%noverload: 2 %% of new programs are shed at %.2f programs/s%n", capacity);
		print.printf("%10s %10s %12s %8s %8s %10s%n", "rate", "offered", "finished/s", "shed", "cut", "p95 s");
		for (double factor : new double[] { 0.5, 0.75, 1, 1.25, 1.5, 2 }) {
			Outcome o = run.apply(capacity * factor);
			print.printf(Locale.ROOT, "%10.2f %10d %12.3f %8d %8d %10.2f%n", capacity * factor, o.offered(),
					o.throughput(), o.shed(), o.offered() - o.shed() - o.finished(), o.p95Seconds());
		}
	}

	static void csv(Path file, List<Outcome> outcomes) throws IOException {
		List<String> lines = new ArrayList<>();
		lines.add("policy,p50_s,p95_s,p99_s,ttft_p95_ms,token_interval_p95_ms,wasted_tokens,idle_token_seconds,"
				+ "offered,finished,shed");
		for (Outcome o : outcomes) {
			lines.add(String.format(Locale.ROOT, "%s,%.3f,%.3f,%.3f,%.1f,%.2f,%d,%.0f,%d,%d,%d", o.policy(),
					seconds(o.programs(), 50), o.p95Seconds(), seconds(o.programs(), 99),
					o.firstToken().getValueAtPercentile(95) / 1e3, o.tokenInterval().getValueAtPercentile(95) / 1e3,
					o.wastedTokens(), o.idleTokenSeconds(), o.offered(), o.finished(), o.shed()));
		}
		Files.write(file, lines);
	}

	private static double seconds(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / 1e6;
	}

	private static double p95OfOthers(Outcome outcome) {
		Histogram others = new Histogram(outcome.programs());
		others.reset();
		outcome.programsByAccount().forEach((account, histogram) -> {
			if (!account.equals(FLOODING_ACCOUNT)) {
				others.add(histogram);
			}
		});
		return seconds(others, 95);
	}

}

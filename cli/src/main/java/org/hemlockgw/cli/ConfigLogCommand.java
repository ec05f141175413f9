package org.hemlockgw.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigPatch;
import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.config.PatchOutcome;
import org.hemlockgw.core.platform.LogRecord;

/**
 * Prints the patch history, latest first.
 */
@Command(name = "log", description = "Prints all patches that are kept, accepted and rejected, latest first.")
final class ConfigLogCommand implements Callable<Integer> {

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Option(names = { "-n", "--max-count" }, paramLabel = "COUNT", defaultValue = "2147483647",
			description = "Most patches to print (default: all).")
	private int maxCount;

	@Option(names = "--json", description = "Print one JSON object a line.")
	private boolean json;

	ConfigLogCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		ConfigStreamReader stream = new ConfigStreamReader(this.connections.log(this.platform));
		List<PatchOutcome> outcomes = outcomes(Await.result(stream.loadAll(), Timeouts.LOAD));
		PrintWriter out = this.spec.commandLine().getOut();
		int last = Math.max(0, outcomes.size() - this.maxCount);
		for (int i = outcomes.size() - 1; i >= last; i--) {
			if (this.json) {
				out.println(ConfigCodec.toJson(outcomes.get(i)));
			}
			else {
				print(out, outcomes.get(i));
			}
		}
		out.flush();
		return ExitStatus.DONE;
	}

	// The history of a state is bounded, so outcomes are collected record by record.
	private static List<PatchOutcome> outcomes(ConfigStreamReader.StartPoint start) {
		ConfigState state = start.state();
		List<PatchOutcome> result = new ArrayList<>(state.history().outcomes());
		for (LogRecord entry : start.records()) {
			state = state.apply(entry);
			List<PatchOutcome> latest = state.history().outcomes();
			if (!latest.isEmpty() && latest.get(latest.size() - 1).offset() == entry.offset()) {
				result.add(latest.get(latest.size() - 1));
			}
		}
		return result;
	}

	private static void print(PrintWriter out, PatchOutcome outcome) {
		ConfigPatch patch = outcome.patch();
		String head = outcome.isAccepted() ? "version " + outcome.version() : "rejected";
		out.println(head + " at offset " + outcome.offset() + ", " + outcome.time());
		out.println("  author: " + patch.author());
		out.println("  reason: " + patch.reason());
		out.println("  patch " + patch.id() + " against version " + patch.base() + ": "
				+ (patch.patch().isMissingNode() ? "content not kept" : patch.patch()));
		outcome.causes().forEach((cause) -> out.println("  cause: " + cause));
	}

}

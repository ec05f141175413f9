package org.hemlockgw.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.config.VersionNote;
import org.hemlockgw.core.platform.LogRecord;

/**
 * Prints a version of the document.
 */
@Command(name = "show", description = "Prints the configuration in force, or an earlier version.")
final class ConfigShowCommand implements Callable<Integer> {

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Option(names = "--version", paramLabel = "N", description = "Version (default: the one in force).")
	private @Nullable Long version;

	ConfigShowCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		ConfigStreamReader stream = new ConfigStreamReader(this.connections.log(this.platform));
		ConfigState state = (this.version != null) ? find(stream, this.version)
				: Await.result(stream.load(), Timeouts.LOAD);
		PrintWriter out = this.spec.commandLine().getOut();
		out.println("# version " + state.version());
		VersionNote note = state.history().notes().get(state.version());
		if (note != null) {
			out.println("# " + note.time() + " by " + note.author() + ", patch " + note.patchId());
			out.println("# " + note.reason().replace("\n", "\n# "));
		}
		out.print(DocumentFile.format(state.document()));
		out.flush();
		return ExitStatus.DONE;
	}

	private static ConfigState find(ConfigStreamReader stream, long version) {
		ConfigStreamReader.StartPoint start = Await.result(stream.loadAll(), Timeouts.LOAD);
		ConfigState state = start.state();
		if (version < state.version()) {
			throw CommandFailure.failed(
					"Version " + version + " has expired from the log, which keeps versions from " + state.version());
		}
		List<LogRecord> records = start.records();
		for (int i = 0; i < records.size() && state.version() < version; i++) {
			state = state.apply(records.get(i));
		}
		if (state.version() != version) {
			throw CommandFailure.failed("Version " + version + " does not exist; in force is " + state.version());
		}
		return state;
	}

}

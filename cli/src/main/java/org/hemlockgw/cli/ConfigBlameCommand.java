package org.hemlockgw.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.config.VersionNote;

/**
 * Prints who last changed each part of the document, and why.
 */
@Command(name = "blame", description = "Prints which version last changed each part of the configuration in force.")
final class ConfigBlameCommand implements Callable<Integer> {

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Parameters(arity = "0..1", paramLabel = "PATH", defaultValue = "",
			description = "Key path such as backend_servers.e1.address (default: the whole document).")
	private String path = "";

	ConfigBlameCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		ConfigStreamReader stream = new ConfigStreamReader(this.connections.log(this.platform));
		ConfigState state = Await.result(stream.load(), Timeouts.LOAD);
		if (!exists(state.document())) {
			throw CommandFailure.failed("Version " + state.version() + " has no key " + this.path
					+ "; 'hemlockctl config log' shows removals");
		}
		PrintWriter out = this.spec.commandLine().getOut();
		state.history().blame().versionsUnder(this.path).forEach((part, version) -> {
			VersionNote note = state.history().notes().get(version);
			String origin = (note != null) ? note.time() + "  " + note.author() + ": " + note.reason() : "";
			out.println((part.isEmpty() ? "(document)" : part) + "  version " + version + "  " + origin);
		});
		out.flush();
		return ExitStatus.DONE;
	}

	private boolean exists(JsonNode document) {
		JsonNode node = document;
		if (!this.path.isEmpty()) {
			for (String key : this.path.split("\\.", -1)) {
				node = node.path(key);
			}
		}
		return !node.isMissingNode();
	}

}

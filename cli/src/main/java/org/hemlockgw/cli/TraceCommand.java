package org.hemlockgw.cli;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Prints the spans of a trace on all daemons, in order of their start.
 */
@Command(name = "trace", description = "Prints the spans of a trace.")
final class TraceCommand implements Callable<Integer> {

	private static final Pattern TRACE_ID = Pattern.compile("[0-9a-f]{32}");

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Parameters(paramLabel = "ID", description = "Trace identifier of 32 hex digits.")
	private String trace = "";

	TraceCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		if (!TRACE_ID.matcher(this.trace).matches()) {
			throw CommandFailure.invalid("ID = \"" + this.trace + "\"; allowed: 32 lower-case hex digits");
		}
		Answers answers = Answers.ask(this.platform.admin(), this.connections.daemons(this.platform),
				"/traces/" + this.trace);
		answers.printUnreachable(this.spec.commandLine().getErr());
		List<JsonNode> spans = answers.merge("spans", "start");
		if (spans.isEmpty()) {
			throw CommandFailure.failed("No daemon that answered keeps spans of trace " + this.trace);
		}
		PrintWriter out = this.spec.commandLine().getOut();
		for (JsonNode span : spans) {
			out.println(span.path("start").asText() + "  " + span.path("duration_us").asText() + " us  "
					+ span.path("vm").asText() + "  " + span.path("name").asText() + "  " + span.path("status").asText()
					+ "  span " + span.path("span").asText() + " parent " + span.path("parent").asText() + "  "
					+ span.path("attributes"));
		}
		out.flush();
		return ExitStatus.DONE;
	}

}

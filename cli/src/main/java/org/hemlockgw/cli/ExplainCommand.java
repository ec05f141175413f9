package org.hemlockgw.cli;

import java.io.PrintWriter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Prints what happened to a request on all daemons, in order of time.
 */
@Command(name = "explain", description = "Prints hops, choices and verdict of a request.")
final class ExplainCommand implements Callable<Integer> {

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Option(names = "--log-file", paramLabel = "FILE",
			description = "Reads logs of gateway processes instead of asking daemons; - is standard input.")
	private List<String> logFiles = List.of();

	@Parameters(paramLabel = "REQUEST",
			description = "Identifier of the request; of a daemon's, the value of X-Hemlock-Request.")
	private String request = "";

	ExplainCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		if (!this.logFiles.isEmpty()) {
			printLogs();
			return ExitStatus.DONE;
		}
		String path = "/explain/" + URLEncoder.encode(this.request, StandardCharsets.UTF_8);
		Answers answers = Answers.ask(this.platform.admin(), this.connections.daemons(this.platform), path);
		answers.printUnreachable(this.spec.commandLine().getErr());
		List<JsonNode> events = answers.merge("events", "time");
		if (events.isEmpty()) {
			throw CommandFailure.failed("No daemon that answered keeps events of request " + this.request);
		}
		PrintWriter out = this.spec.commandLine().getOut();
		for (JsonNode event : events) {
			out.println(event.path("time").asText() + "  " + event.path("vm").asText() + "  "
					+ event.path("account").asText() + "/" + event.path("program").asText() + "  "
					+ event.path("hop").asText() + "  " + event.path("event").asText() + ": "
					+ event.path("reason").asText());
		}
		out.flush();
		return ExitStatus.DONE;
	}

	private void printLogs() {
		LogFiles logs = new LogFiles(System.in);
		this.logFiles.forEach((file) -> logs.read(file, this.request));
		if (logs.skipped() > 0) {
			this.spec.commandLine().getErr().println("skipped " + logs.skipped() + " lines that are no JSON");
		}
		List<LogFiles.Line> lines = logs.lines();
		if (lines.isEmpty()) {
			throw CommandFailure.failed("No line of the logs names request " + this.request);
		}
		PrintWriter out = this.spec.commandLine().getOut();
		for (LogFiles.Line line : lines) {
			out.println(line.time() + "  " + line.process() + "  " + line.level() + "  " + line.logger() + ": "
					+ line.message());
		}
		out.flush();
	}

}

package org.hemlockgw.cli;

import java.io.PrintWriter;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Prints the state of all daemons.
 */
@Command(name = "status", description = "Prints versions, shards, engines, leaving and quarantine of all daemons.")
final class StatusCommand implements Callable<Integer> {

	private static final String ROW = "%-20s %-20s %8s %-6s %7s %8s%n";

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Option(names = "--json", description = "Print the full answers as JSON.")
	private boolean json;

	StatusCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		Answers answers = Answers.ask(this.platform.admin(), this.connections.daemons(this.platform), "/status");
		PrintWriter out = this.spec.commandLine().getOut();
		if (this.json) {
			printJson(out, answers);
		}
		else {
			print(out, answers);
		}
		out.flush();
		answers.printUnreachable(this.spec.commandLine().getErr());
		return answers.bodies().isEmpty() ? ExitStatus.FAILED : ExitStatus.DONE;
	}

	private static void printJson(PrintWriter out, Answers answers) {
		ObjectNode merged = JsonNodeFactory.instance.objectNode();
		merged.putObject("daemons").setAll(answers.bodies());
		ObjectNode unreachable = merged.putObject("unreachable");
		answers.unreachable().forEach(unreachable::put);
		out.println(merged);
	}

	private static void print(PrintWriter out, Answers answers) {
		out.printf(ROW, "VM", "INCARNATION", "VERSION", "READY", "SHARDS", "ENGINES");
		answers.bodies().forEach((vm, status) -> {
			JsonNode self = status.path("incarnation");
			String owner = self.path("vm").asText() + "/" + self.path("id").asText();
			out.printf(ROW, vm, self.path("id").asText(), status.path("configuration_version").asText(),
					status.path("ready").asBoolean() ? "yes" : "no", status.path("shards").path(owner).size(),
					engines(status, self));
		});
		printUnion(out, "leaving", answers);
		printUnion(out, "quarantine", answers);
	}

	private static int engines(JsonNode status, JsonNode self) {
		int count = 0;
		for (JsonNode engine : status.path("engines")) {
			count += engine.path("dispatcher").equals(self) ? 1 : 0;
		}
		return count;
	}

	private static void printUnion(PrintWriter out, String key, Answers answers) {
		Set<String> union = new TreeSet<>();
		for (Map.Entry<String, JsonNode> answer : answers.bodies().entrySet()) {
			answer.getValue().path(key).forEach((item) -> union.add(item.isTextual() ? item.asText() : text(item)));
		}
		out.println(key + ": " + (union.isEmpty() ? "none" : String.join(", ", union)));
	}

	private static String text(JsonNode quarantine) {
		return quarantine.path("digest").asText() + " until " + quarantine.path("until").asText() + " ("
				+ quarantine.path("reason").asText() + ")";
	}

}

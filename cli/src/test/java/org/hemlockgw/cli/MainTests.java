package org.hemlockgw.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.core.platform.InMemoryLog;
import org.hemlockgw.remote.admin.AdminClient;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class MainTests {

	private static final String LOG = "127.0.0.1:1";

	private final InMemoryLog log = new InMemoryLog();

	private final StringWriter out = new StringWriter();

	private final StringWriter err = new StringWriter();

	// Guards against examples that the checks refuse, which an operator would copy.
	@ParameterizedTest
	@ValueSource(strings = { "theatre.yaml", "workshops.yaml" })
	void examplesAreValid(String name) {
		assertThat(run("config", "check", "../examples/" + name)).isEqualTo(ExitStatus.DONE);
		assertThat(this.err.toString()).isEmpty();
	}

	// Guards against a wrong exit status, on which scripts rely.
	@ParameterizedTest
	@CsvSource(delimiter = '|',
			value = { "config check ../examples/missing.yaml | 2 | cannot be read",
					"config check ../examples/settings.yaml | 2 | name = \"entry-1\"; allowed: the keys",
					"config patch --base 0 | 2 | Missing required options", "config | 2 | Missing required subcommand",
					"status --vm-list host:1 | 2 | --vm-list = \"host:1\"; allowed: IP number and port",
					"config show --log 127.0.0.1:1 --version 7 | 1 | Version 7 does not exist; in force is 0",
					"config blame --log 127.0.0.1:1 limits.x | 1 | Version 0 has no key limits.x",
					"trace --vm-list 127.0.0.1:1 xyz | 2 | allowed: 32 lower-case hex digits",
					"drain --vm-list 127.0.0.1:1 entry-9 | 1 | The VM list has no daemon entry-9" })
	void reportsFailures(String arguments, int status, String message) {
		assertThat(run(arguments.split(" "))).isEqualTo(status);
		assertThat(this.err.toString()).contains(message);
	}

	// Guards against a patch whose sender does not learn whether it is in force, and
	// against documents that change on their way through the log.
	@Example
	void patchesShowsAndExplainsTheDocument() throws IOException {
		assertThat(patch(0, Files.readString(Path.of("../examples/theatre.yaml")))).isEqualTo(ExitStatus.DONE);
		assertThat(this.out.toString()).contains("accepted: version 1");
		assertThat(patch(1, "limits: {max_turns: 7}")).isEqualTo(ExitStatus.DONE);
		assertThat(patch(1, "limits: {max_turns: 8}")).isEqualTo(ExitStatus.FAILED);
		assertThat(this.err.toString()).contains("base 1 is not the version in force, 2");
		assertThat(patch(2, "data_centres: {sto-a: null}")).isEqualTo(ExitStatus.FAILED);
		assertThat(this.err.toString()).contains("backend_servers.publisher.data_centre = \"sto-a\"; allowed:");
		assertThat(output("config", "show")).contains("max_turns: 7");
		assertThat(output("config", "show", "--version", "1")).contains("max_turns: 65");
		assertThat(output("config", "blame", "limits.max_turns")).contains("limits.max_turns  version 2");
		assertThat(output("config", "log")).containsMatch("(?s)rejected.*cause: .*version 2.*author: ann.*version 1");
		assertThat(output("config", "snapshot")).contains("snapshot of version 2 at offset 4");
		this.log.expireBefore(3);
		assertThat(output("config", "show")).contains("max_turns: 7");
		assertThat(output("config", "log").lines().filter((line) -> line.contains(" at offset ")).count()).isEqualTo(4);
		Path shown = Files.createTempFile("shown", ".yaml");
		shown.toFile().deleteOnExit();
		Files.writeString(shown, output("config", "show"));
		assertThat(run("config", "check", shown.toString())).isEqualTo(ExitStatus.DONE);
	}

	// Guards against a patch that is reported as failed, or applied twice, when the
	// append took effect but its response was lost.
	@Example
	void findsItsPatchWhenTheAnswerIsLost() throws IOException {
		this.log.dropResponses(1);
		assertThat(patch(0, "policy: cache_first")).isEqualTo(ExitStatus.DONE);
		assertThat(this.out.toString()).contains("accepted: version 1");
		assertThat(new ConfigStreamReader(this.log).load().join().version()).isEqualTo(1);
	}

	@Example
	void saysThatAPatchWasNotAppendedDuringAnOutage() throws IOException {
		this.log.setOutage(true);
		assertThat(patch(0, "policy: cache_first", "--timeout", "1")).isEqualTo(ExitStatus.FAILED);
		assertThat(this.err.toString()).containsMatch("Patch .* was not appended: outage");
	}

	// Guards against one dead daemon that hides the answers of all others.
	@Example
	void mergesAnswersAndNamesUnreachableDaemons() {
		assertThat(run("status", "--vm-list", LOG)).isEqualTo(ExitStatus.DONE);
		assertThat(this.out.toString()).containsMatch("entry-1 +i1 +4 yes +2 +1");
		assertThat(this.err.toString()).contains("unreachable: entry-2: ");
		assertThat(output("explain", "r1", "--vm-list", LOG))
			.containsMatch("(?s)00:00:00Z  entry-1 .*admitted: free.*00:00:00\\.5Z  entry-3 .*engine_chosen: fast");
		assertThat(output("drain", "entry-1", "--vm-list", LOG)).contains("entry-1 is draining");
	}

	// Guards against lines out of order or of other requests, and against one damaged
	// line that hides the others.
	@ParameterizedTest
	@CsvSource({ "front-a , front-b , front-a, front-b", "'  35.1 front-a ', '36.2 front-b ', front-a, front-b" })
	void explainsARequestFromLogs(String prefix, String otherPrefix, String first, String second) throws IOException {
		Path file = Files.createTempFile("processes", ".log");
		file.toFile().deleteOnExit();
		Files.write(file, List.of(otherPrefix + logLine(2000, "RequestLog", "refused", "r1", "status", "503"),
				prefix + logLine(1000, "ProgramOwner", "turn to continue is not found", "r1", "parent", "t0"),
				prefix + logLine(1500, "RequestLog", "refused", "r12", "status", "404"),
				prefix + logLine(1600, "TurnEnd", "other request", "\\n3:xr1", "parent", "t0"),
				prefix + logLine(1700, "ProgramOwner", "not found", "\\n3:redr1", "parent", "\\n3:redt0"),
				prefix + logLine(1500, "RequestLog", "refused", "x-r1", "status", "404"), "request r1 {cut off"));
		assertThat(output("explain", "r1", "--log-file", file.toString())).isEqualTo("1970-01-01T00:00:01Z  " + first
				+ "  INFO  ProgramOwner: turn to continue is not found, request r1, parent t0\n"
				+ "1970-01-01T00:00:01.700Z  " + first
				+ "  INFO  ProgramOwner: not found, request \\n3:redr1, parent \\n3:redt0\n" + "1970-01-01T00:00:02Z  "
				+ second + "  INFO  RequestLog: refused, request r1, status 503\n");
		assertThat(this.err.toString()).contains("skipped 1 lines");
		assertThat(run("explain", "r9", "--log-file", file.toString())).isEqualTo(ExitStatus.FAILED);
		assertThat(run("explain", "r1", "--log-file", file + ".missing")).isEqualTo(ExitStatus.INVALID);
	}

	private static String logLine(long time, String logger, String message, String request, String field,
			String value) {
		return """
				{"timestamp":%d,"level":"INFO","loggerName":"org.hemlockgw.gateway.%s","formattedMessage":"%s",\
				"kvpList":[{"request":"%s"},{"%s":"%s"}]}""".formatted(time, logger, message, request, field, value);
	}

	private int patch(long base, String yaml, String... more) throws IOException {
		Path file = Files.createTempFile("patch", ".yaml");
		file.toFile().deleteOnExit();
		Files.writeString(file, yaml);
		String[] arguments = { "config", "patch", "--log", LOG, "--base", Long.toString(base), "-f", file.toString(),
				"--author", "ann", "--reason", "test" };
		String[] all = Arrays.copyOf(arguments, arguments.length + more.length);
		System.arraycopy(more, 0, all, arguments.length, more.length);
		return run(all);
	}

	private String output(String... arguments) {
		this.out.getBuffer().setLength(0);
		String[] all = arguments;
		if (arguments[0].equals("config")) {
			all = Arrays.copyOf(arguments, arguments.length + 2);
			all[arguments.length] = "--log";
			all[arguments.length + 1] = LOG;
		}
		assertWithMessage(this.err.toString()).that(run(all)).isEqualTo(ExitStatus.DONE);
		return this.out.toString();
	}

	private int run(String... arguments) {
		Platform platform = new Platform((address) -> this.log,
				(address) -> () -> CompletableFuture.completedFuture(List.of(vm(1), vm(2), vm(3))), MainTests::answer);
		CommandLine command = Main.commandLine(platform);
		command.setOut(new PrintWriter(this.out, true)).setErr(new PrintWriter(this.err, true));
		return command.execute(arguments);
	}

	private static Vm vm(int n) {
		return new Vm("entry-" + n, "127.0.0.1:" + n, "127.0.0.1:" + (100 + n), "sto-a", 1, VmKind.ENTRY, VmState.LIVE);
	}

	private static CompletableFuture<AdminClient.Response> answer(String method, String address, String path) {
		int n = Integer.parseInt(address.substring("127.0.0.1:10".length()));
		if (n == 2) {
			return CompletableFuture.failedFuture(new IOException("refused"));
		}
		if (method.equals("POST")) {
			return CompletableFuture.completedFuture(new AdminClient.Response(202, "{}"));
		}
		String body = path.equals("/status")
				? """
						{"incarnation": {"vm": "entry-%d", "id": "i%d"}, "configuration_version": 4, "ready": true,
						"shards": {"entry-1/i1": [1, 2]}, "engines": [{"name": "e", "dispatcher": {"vm": "entry-1", "id": "i1"}}]}
						"""
					.formatted(n, n)
				: """
						{"events": [{"time": "2026-01-01T00:00:00%s", "vm": "entry-%d", "event": "%s", "reason": "%s"}]}
						""".formatted((n == 1) ? "Z" : ".5Z", n, (n == 1) ? "admitted" : "engine_chosen",
						(n == 1) ? "free" : "fast");
		return CompletableFuture.completedFuture(new AdminClient.Response(200, body));
	}

}

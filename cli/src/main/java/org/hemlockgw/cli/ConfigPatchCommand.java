package org.hemlockgw.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.config.ConfigPatch;
import org.hemlockgw.core.config.PatchOutcome;

/**
 * Submits a patch against a stated version.
 */
@Command(name = "patch", description = "Changes the configuration by a merge patch (RFC 7396).")
final class ConfigPatchCommand implements Callable<Integer> {

	private static final int MAX_AUTHOR_LENGTH = 200;

	private static final int MAX_REASON_LENGTH = 2000;

	private final Platform platform;

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Mixin
	private final Connections connections = new Connections();

	@Option(names = "--base", required = true, paramLabel = "N",
			description = "Version that the patch was written against.")
	private long base;

	@Option(names = { "-f", "--file" }, required = true, paramLabel = "FILE",
			description = "Merge patch as YAML or JSON; null removes a key.")
	@SuppressWarnings("NullAway.Init")
	private Path file;

	@Option(names = "--author", required = true, description = "Who asks for the change.")
	@SuppressWarnings("NullAway.Init")
	private String author;

	@Option(names = "--reason", required = true, description = "Why.")
	@SuppressWarnings("NullAway.Init")
	private String reason;

	@Option(names = "--timeout", paramLabel = "SECONDS", defaultValue = "30",
			description = "How long to try when the log is unavailable (default: ${DEFAULT-VALUE}).")
	private int timeoutSeconds;

	ConfigPatchCommand(Platform platform) {
		this.platform = platform;
	}

	@Override
	public Integer call() {
		if (this.base < 0) {
			throw CommandFailure.invalid("--base = " + this.base + "; allowed: a whole number from 0");
		}
		if (this.timeoutSeconds < 1) {
			throw CommandFailure.invalid("--timeout = " + this.timeoutSeconds + "; allowed: a whole number from 1");
		}
		requireText("--author", this.author, MAX_AUTHOR_LENGTH);
		requireText("--reason", this.reason, MAX_REASON_LENGTH);
		JsonNode patch = DocumentFile.read(this.file);
		if (!patch.isObject()) {
			throw CommandFailure.invalid(this.file + ": allowed: an object of keys and values");
		}
		PatchSubmitter submitter = new PatchSubmitter(this.connections.log(this.platform),
				Duration.ofSeconds(this.timeoutSeconds));
		PatchOutcome outcome = submitter
			.submit(new ConfigPatch(UUID.randomUUID().toString(), this.base, this.author, this.reason, patch));
		return report(outcome);
	}

	private int report(PatchOutcome outcome) {
		CommandSpec s = this.spec;
		String where = "patch " + outcome.patch().id() + " at offset " + outcome.offset();
		if (outcome.isAccepted()) {
			s.commandLine().getOut().println("accepted: version " + outcome.version() + ", " + where);
			return ExitStatus.DONE;
		}
		s.commandLine().getErr().println("rejected: " + where);
		outcome.causes().forEach((cause) -> s.commandLine().getErr().println("  " + cause));
		return ExitStatus.FAILED;
	}

	private static void requireText(String option, String value, int max) {
		if (value.isBlank() || value.length() > max) {
			throw CommandFailure.invalid(option + " = \"" + value + "\"; allowed: 1 to " + max + " characters");
		}
	}

}

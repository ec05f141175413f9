package org.hemlockgw.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import org.hemlockgw.core.config.CheckResult;
import org.hemlockgw.core.config.ConfigChecker;

/**
 * Checks a whole document without any connection.
 */
@Command(name = "check", description = "Checks a whole configuration document offline.")
final class ConfigCheckCommand implements Callable<Integer> {

	@Spec
	@SuppressWarnings("NullAway.Init")
	private CommandSpec spec;

	@Parameters(paramLabel = "FILE", description = "Document as YAML or JSON.")
	@SuppressWarnings("NullAway.Init")
	private Path file;

	@Override
	public Integer call() {
		CheckResult result = ConfigChecker.check(1, DocumentFile.read(this.file));
		if (result.errors().isEmpty()) {
			this.spec.commandLine().getOut().println(this.file + ": valid");
			return ExitStatus.DONE;
		}
		result.errors().forEach((error) -> this.spec.commandLine().getErr().println(this.file + ": " + error));
		return ExitStatus.INVALID;
	}

}

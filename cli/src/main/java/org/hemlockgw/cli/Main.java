package org.hemlockgw.cli;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import picocli.CommandLine;

import org.hemlockgw.core.common.CallFailure;

/**
 * Entry point of {@code hemlockctl}.
 */
public final class Main {

	private static final String LOG_LEVEL = "HEMLOCK_LOG_LEVEL";

	private Main() {
	}

	/**
	 * Runs one command and ends the process.
	 * @param args the arguments; {@code --help} lists them
	 */
	public static void main(String[] args) {
		if (System.getenv(LOG_LEVEL) == null) {
			System.setProperty(LOG_LEVEL, "WARN");
		}
		ExecutorService executor = Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "client");
			thread.setDaemon(true);
			return thread;
		});
		System.exit(commandLine(Clients.connect(executor)).execute(args));
	}

	static CommandLine commandLine(Platform platform) {
		CommandLine result = new CommandLine(new RootCommand(), new CommandFactory(platform));
		result.setExecutionExceptionHandler((ex, command, parsed) -> {
			command.getErr().println(ex.getMessage());
			if (ex instanceof CommandFailure failure) {
				return failure.status();
			}
			if (!(ex instanceof CallFailure)) {
				ex.printStackTrace(command.getErr());
			}
			return ExitStatus.FAILED;
		});
		return result;
	}

}

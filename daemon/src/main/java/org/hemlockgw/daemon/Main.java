package org.hemlockgw.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.FileAppender;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

import org.hemlockgw.daemon.settings.Settings;
import org.hemlockgw.daemon.settings.SettingsException;
import org.hemlockgw.daemon.settings.SettingsLoader;

/**
 * Command line of the daemon.
 */
@Command(name = "hemlockgw", mixinStandardHelpOptions = true, version = "hemlockgw 0.1.0",
		description = "Runs a daemon of the scheduler until SIGTERM or POST /drain.")
public final class Main implements Callable<Integer> {

	private static final int EXIT_SETTINGS = 2;

	private static final int EXIT_LISTENER = 1;

	@Option(names = "--settings", required = true, paramLabel = "FILE", description = "Settings file (YAML).")
	private Path settingsFile = Path.of("");

	private Main() {
	}

	public static void main(String[] args) {
		System.exit(new CommandLine(new Main()).execute(args));
	}

	@Override
	public Integer call() throws InterruptedException, ExecutionException {
		Settings settings;
		try {
			settings = SettingsLoader.load(this.settingsFile);
		}
		catch (SettingsException ex) {
			System.err.println(ex.getMessage());
			return EXIT_SETTINGS;
		}
		if (settings.logFile() != null) {
			addLogFile(settings.logFile());
		}
		try {
			run(Daemon.start(settings));
			return 0;
		}
		catch (IOException ex) {
			System.err.println("cannot listen: " + ex.getMessage());
			return EXIT_LISTENER;
		}
	}

	private static void run(Daemon daemon) throws InterruptedException, ExecutionException {
		GracefulShutdown shutdown = daemon.shutdown();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			shutdown.run();
			// The JVM would otherwise report the signal as its exit status.
			Runtime.getRuntime().halt(0);
		}, "shutdown"));
		daemon.awaitConfiguration().get();
		System.out.println("ready " + daemon.addresses());
		shutdown.await();
	}

	private static void addLogFile(Path file) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		JsonEncoder encoder = new JsonEncoder();
		encoder.setContext(context);
		encoder.start();
		FileAppender<ILoggingEvent> appender = new FileAppender<>();
		appender.setContext(context);
		appender.setFile(file.toString());
		appender.setEncoder(encoder);
		appender.start();
		context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(appender);
	}

}

package org.hemlockgw.daemon.settings;

import java.nio.file.Path;
import java.util.List;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.FileAppender;
import org.slf4j.LoggerFactory;

import org.hemlockgw.core.config.ConfigError;

/**
 * Writes log lines to a file besides standard error.
 */
public final class LogFile {

	private LogFile() {
	}

	/**
	 * Appends all log lines from now on to a file.
	 * @param file the file, created with its folders if it does not exist
	 * @throws SettingsException if the file cannot be written
	 */
	public static void open(Path file) throws SettingsException {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		JsonEncoder encoder = new JsonEncoder();
		encoder.setContext(context);
		encoder.setWithContext(false);
		encoder.setWithMDC(false);
		encoder.start();
		FileAppender<ILoggingEvent> appender = new FileAppender<>();
		appender.setContext(context);
		appender.setFile(file.toString());
		appender.setEncoder(encoder);
		appender.start();
		if (!appender.isStarted()) {
			throw new SettingsException(
					List.of(new ConfigError("log_file", '"' + file.toString() + '"', "a file that can be written")));
		}
		context.getLogger(Logger.ROOT_LOGGER_NAME).addAppender(appender);
	}

}

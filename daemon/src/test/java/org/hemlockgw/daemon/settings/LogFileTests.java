package org.hemlockgw.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class LogFileTests {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	// Guards against log lines that are lost because Flogger, SLF4J and Logback do not
	// fit together; nothing else fails in that case.
	@Example
	void writesJsonLines() throws IOException, SettingsException {
		Path file = Files.createTempFile("hemlockgw", ".log");
		file.toFile().deleteOnExit();
		LogFile.open(file);
		logger.atInfo().log("Version %d", 7);
		JsonNode line = new ObjectMapper().readTree(Files.readString(file));
		assertThat(line.path("message").asText()).isEqualTo("Version 7");
		assertThat(line.path("level").asText()).isEqualTo("INFO");
	}

	@Example
	void refusesAFileThatCannotBeWritten() throws IOException {
		Path file = Files.createTempFile("hemlockgw", ".log");
		file.toFile().deleteOnExit();
		try {
			LogFile.open(file.resolve("below-a-file.log"));
		}
		catch (SettingsException ex) {
			assertThat(ex.errors().get(0).path()).isEqualTo("log_file");
			return;
		}
		throw new AssertionError("no error");
	}

}

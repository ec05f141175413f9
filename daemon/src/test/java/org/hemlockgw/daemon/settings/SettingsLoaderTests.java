package org.hemlockgw.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import net.jqwik.api.Example;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.hemlockgw.core.config.ConfigError;

import static com.google.common.truth.Truth.assertThat;

class SettingsLoaderTests {

	private static final String ERROR = "# error: ";

	static List<Path> cases() throws IOException {
		try (Stream<Path> files = Files.list(Path.of("src/test/resources/settings-cases"))) {
			return files.sorted().toList();
		}
	}

	// Guards against settings errors that are missed or that do not name key path, value
	// and what is allowed.
	@ParameterizedTest
	@MethodSource("cases")
	void reportsExactlyTheExpectedErrors(Path file) throws IOException {
		List<String> expected = Files.readAllLines(file)
			.stream()
			.filter((line) -> line.startsWith(ERROR))
			.map((line) -> line.substring(ERROR.length()))
			.toList();
		List<String> found = List.of();
		try {
			SettingsLoader.load(file);
		}
		catch (SettingsException ex) {
			found = ex.errors().stream().map(ConfigError::toString).toList();
		}
		assertThat(found).containsExactlyElementsIn(expected).inOrder();
	}

	// Guards against a value that is read into the wrong setting.
	@Example
	void readsTheExample() throws SettingsException {
		Settings settings = SettingsLoader.load(Path.of("../examples/settings.yaml"));
		assertThat(settings.toString()).isEqualTo("Settings[name=entry-1, dataCentre=sto-a, weight=1.0, "
				+ "callerAddress=127.0.0.1:8080, peerAddress=127.0.0.1:8081, adminAddress=127.0.0.1:8082, "
				+ "logAddress=127.0.0.1:7001, vmListAddress=127.0.0.1:7002, batchInterval=PT0.05S, logFile=null]");
	}

}

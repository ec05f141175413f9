package org.hemlockgw.core.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ConfigCheckerTests {

	private static final Path CASES = Path.of("src/test/resources/config-cases");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	static List<Path> cases() throws IOException {
		try (Stream<Path> files = Files.list(CASES)) {
			return files.sorted().toList();
		}
	}

	// Guards against an error that is missed, reported twice, or reported without the key
	// path, the value or the allowed values.
	@ParameterizedTest
	@MethodSource("cases")
	void reportsExactlyTheExpectedErrors(Path caseFile) throws IOException {
		JsonNode testCase = MAPPER.readTree(caseFile.toFile());
		JsonNode originalDocument = testCase.get("document").deepCopy();
		JsonNode document = testCase.get("document");
		if (testCase.has("patch")) {
			assertThat(ConfigChecker.check(1, document).errors()).isEmpty();
			document = MergePatch.apply(document, testCase.get("patch"));
		}
		CheckResult result = ConfigChecker.check(2, document);
		List<String> expected = new ArrayList<>();
		testCase.get("errors").forEach((error) -> expected.add(error.textValue()));
		List<String> found = result.errors().stream().map(ConfigError::toString).toList();
		assertWithMessage(caseFile.toString()).that(found).containsExactlyElementsIn(expected).inOrder();
		assertThat(result.configuration() != null).isEqualTo(expected.isEmpty());
		assertWithMessage("input is not modified").that(testCase.get("document")).isEqualTo(originalDocument);
	}

}

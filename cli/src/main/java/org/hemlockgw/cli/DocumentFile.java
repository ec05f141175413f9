package org.hemlockgw.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;

/**
 * Reads and writes documents as YAML. JSON files can be read too, because JSON is a
 * subset of YAML.
 */
final class DocumentFile {

	private static final ObjectMapper YAML = new ObjectMapper(YAMLFactory.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
		.enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
		.enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
		.build());

	private DocumentFile() {
	}

	/**
	 * Reads a file.
	 * @param file the file
	 * @return its content
	 * @throws CommandFailure if it cannot be read or is no YAML
	 */
	static JsonNode read(Path file) {
		try {
			JsonNode result = YAML.readTree(Files.readString(file));
			if (!result.isMissingNode()) {
				return result;
			}
			throw CommandFailure.invalid(file + ": empty; allowed: a YAML or JSON object");
		}
		catch (JsonProcessingException ex) {
			throw CommandFailure.invalid(file + ": " + ex.getMessage() + "; allowed: YAML or JSON");
		}
		catch (IOException ex) {
			throw CommandFailure.invalid(file + ": cannot be read: " + ex);
		}
	}

	static String format(JsonNode document) {
		try {
			return YAML.writeValueAsString(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("A tree of JSON nodes cannot be written", ex);
		}
	}

}

package org.hemlockgw.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;

import org.hemlockgw.core.config.ConfigError;
import org.hemlockgw.core.config.DocumentReader;
import org.hemlockgw.core.config.IpAndPort;

/**
 * Reads and checks the settings file.
 */
public final class SettingsLoader {

	private static final ObjectMapper YAML = new ObjectMapper(
			YAMLFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build());

	private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9_-]{0,62}");

	private static final String NAME_ALLOWED = "1 to 63 of a-z, 0-9, _ and -, beginning with a letter or digit";

	private static final double MAX_WEIGHT = 1000;

	private static final int MAX_BATCH_INTERVAL_MS = 10_000;

	private final List<ConfigError> errors = new ArrayList<>();

	private SettingsLoader() {
	}

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the settings
	 * @throws SettingsException if the file cannot be read or holds errors; names all
	 */
	public static Settings load(Path file) throws SettingsException {
		String text;
		try {
			text = Files.readString(file);
		}
		catch (IOException ex) {
			throw new SettingsException(List.of(new ConfigError("(file)", file.toString(), "a readable file")));
		}
		return parse(text);
	}

	/**
	 * Reads settings.
	 * @param yaml the content of a settings file
	 * @return the settings
	 * @throws SettingsException if it holds errors; names all of them
	 */
	public static Settings parse(String yaml) throws SettingsException {
		JsonNode document;
		try {
			document = YAML.readTree(yaml);
		}
		catch (JsonProcessingException ex) {
			throw new SettingsException(List.of(new ConfigError("(document)", ex.getOriginalMessage(), "YAML")));
		}
		SettingsLoader loader = new SettingsLoader();
		Settings settings = loader.read(new DocumentReader(document, "", loader.errors));
		if (!loader.errors.isEmpty()) {
			throw new SettingsException(loader.errors);
		}
		return settings;
	}

	private Settings read(DocumentReader r) {
		Predicate<String> isName = (text) -> NAME.matcher(text).matches();
		String name = r.text("name", isName, NAME_ALLOWED, null);
		String dataCentre = r.text("data_centre", isName, NAME_ALLOWED, null);
		double weight = r.positiveNumber("weight", MAX_WEIGHT, null);
		String caller = address(r, "caller", 0);
		String peer = address(r, "peer", 0);
		String admin = address(r, "admin", 0);
		String log = address(r, "log", 1);
		String vmList = address(r, "vm_list", 1);
		Duration batchInterval = Duration.ofMillis(r.integer("batch_interval_ms", 1, MAX_BATCH_INTERVAL_MS, null));
		String logFile = r.text("log_file", SettingsLoader::isPath, "a path", "");
		r.rejectUnknownKeys();
		return new Settings(name, dataCentre, weight, caller, peer, admin, log, vmList, batchInterval,
				logFile.isEmpty() ? null : Path.of(logFile));
	}

	private static String address(DocumentReader parent, String key, int minPort) {
		DocumentReader r = parent.object(key);
		String allowed = (minPort == 0) ? IpAndPort.ALLOWED_LISTENER : IpAndPort.ALLOWED;
		String address = r.text("address", (text) -> IpAndPort.isValid(text, minPort), allowed, null);
		r.rejectUnknownKeys();
		return address;
	}

	private static boolean isPath(String text) {
		try {
			return !Path.of(text).toString().isEmpty();
		}
		catch (InvalidPathException ex) {
			return false;
		}
	}

}

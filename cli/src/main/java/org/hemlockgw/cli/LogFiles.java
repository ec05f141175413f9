package org.hemlockgw.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Logs of gateway processes: JSON lines, each with the name of its process in front if
 * several share a file.
 */
final class LogFiles {

	/** Name of standard input. */
	static final String STANDARD_INPUT = "-";

	/**
	 * Text that may be an identifier qualified with a client account: line feed as
	 * escaped in JSON, length of the account's name, colon, name, identifier.
	 */
	private static final Pattern QUALIFIED = Pattern.compile("\"\\\\n(\\d{1,3}):([^\"]*)\"");

	private static final ObjectMapper JSON = new ObjectMapper();

	private final InputStream standardInput;

	private final List<Line> found = new ArrayList<>();

	private int skipped;

	LogFiles(InputStream standardInput) {
		this.standardInput = standardInput;
	}

	/**
	 * Reads the lines that name a request.
	 * @param file name of the file, or {@link #STANDARD_INPUT}
	 * @param request the request
	 */
	void read(String file, String request) {
		Pattern name = Pattern.compile("(?<![\\w-])" + Pattern.quote(request) + "(?![\\w-])");
		try (BufferedReader in = new BufferedReader(new InputStreamReader(open(file), StandardCharsets.UTF_8))) {
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				if (name.matcher(line).find() || hasQualified(line, request)) {
					add(file, line);
				}
			}
		}
		catch (IOException ex) {
			throw CommandFailure.invalid(file + ": cannot be read: " + ex);
		}
	}

	private static boolean hasQualified(String line, String request) {
		for (Matcher matcher = QUALIFIED.matcher(line); matcher.find();) {
			String text = matcher.group(2);
			int accountLength = Integer.parseInt(matcher.group(1));
			if (accountLength <= text.length() && text.substring(accountLength).equals(request)) {
				return true;
			}
		}
		return false;
	}

	private InputStream open(String file) throws IOException {
		return file.equals(STANDARD_INPUT) ? this.standardInput : Files.newInputStream(Path.of(file));
	}

	private void add(String file, String line) {
		int begin = line.indexOf('{');
		if (begin < 0) {
			this.skipped++;
			return;
		}
		String before = line.substring(0, begin).strip();
		String process = before.isEmpty() ? file : before.substring(before.lastIndexOf(' ') + 1);
		try {
			JsonNode event = JSON.readTree(line.substring(begin));
			String logger = event.path("loggerName").asText();
			this.found.add(new Line(Instant.ofEpochMilli(event.path("timestamp").asLong()), process,
					event.path("level").asText(), logger.substring(logger.lastIndexOf('.') + 1),
					event.path("formattedMessage").asText() + fields(event.path("kvpList"))));
		}
		catch (JsonProcessingException ex) {
			this.skipped++;
		}
	}

	private static String fields(JsonNode pairs) {
		StringBuilder text = new StringBuilder();
		for (JsonNode pair : pairs) {
			pair.fields()
				.forEachRemaining((field) -> text.append(", ")
					.append(field.getKey())
					.append(' ')
					.append(field.getValue().asText().replace("\n", "\\n")));
		}
		return text.toString();
	}

	/**
	 * Returns the lines that were found.
	 * @return lines in order of time
	 */
	List<Line> lines() {
		return this.found.stream().sorted(Comparator.comparing(Line::time)).toList();
	}

	/**
	 * Returns the number of lines that name the request but are no log lines.
	 * @return number of lines
	 */
	int skipped() {
		return this.skipped;
	}

	/**
	 * A line of a log.
	 *
	 * @param time when it was written, by the clock of its VM
	 * @param process name of the process
	 * @param level level
	 * @param logger class that wrote it
	 * @param message text and fields
	 */
	record Line(Instant time, String process, String level, String logger, String message) {

	}

}

package org.hemlockgw.core.config;

import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * JSON encoding of the records of the configuration stream.
 */
public final class ConfigCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int MAX_TEXT_LENGTH = 2000;

	private ConfigCodec() {
	}

	/**
	 * Encodes a record.
	 * @param configRecord the record
	 * @return the record as JSON
	 */
	public static byte[] encode(ConfigRecord configRecord) {
		try {
			return MAPPER.writeValueAsBytes(toJson(configRecord));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to serialize a tree of JSON nodes", ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param data the record as JSON
	 * @return the record
	 * @throws MalformedRecordException if the data is not a valid record; the message
	 * states the reason
	 */
	public static ConfigRecord decode(byte[] data) throws MalformedRecordException {
		JsonNode json;
		try {
			json = MAPPER.readTree(data);
		}
		catch (IOException ex) {
			throw new MalformedRecordException("not JSON");
		}
		String type = text(json, "type");
		return switch (type) {
			case "patch" -> patch(json, true);
			case "snapshot" -> snapshot(json);
			default -> throw new MalformedRecordException("type is \"" + type + "\", allowed: patch, snapshot");
		};
	}

	/**
	 * Converts a record to JSON.
	 * @param configRecord the record
	 * @return the JSON object
	 */
	public static ObjectNode toJson(ConfigRecord configRecord) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		if (configRecord instanceof ConfigPatch patch) {
			return put(json.put("type", "patch"), patch);
		}
		ConfigSnapshot snapshot = (ConfigSnapshot) configRecord;
		json.put("type", "snapshot").put("next", snapshot.nextOffset()).put("version", snapshot.version());
		json.set("document", snapshot.document());
		ConfigHistory history = snapshot.history();
		json.set("blame", history.blame().tree());
		ArrayNode notes = json.putArray("notes");
		history.notes().values().forEach((note) -> notes.add(toJson(note)));
		ArrayNode outcomes = json.putArray("outcomes");
		history.outcomes().forEach((outcome) -> outcomes.add(toJson(outcome)));
		return json;
	}

	/**
	 * Converts a patch outcome to JSON.
	 * @param outcome the outcome
	 * @return the JSON object
	 */
	public static ObjectNode toJson(PatchOutcome outcome) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("offset", outcome.offset()).put("time", outcome.time().toString()).put("version", outcome.version());
		ArrayNode causes = json.putArray("causes");
		outcome.causes().forEach(causes::add);
		return put(json, outcome.patch());
	}

	private static ObjectNode put(ObjectNode json, ConfigPatch patch) {
		json.put("id", patch.id()).put("base", patch.base());
		json.put("author", patch.author()).put("reason", patch.reason());
		if (!patch.patch().isMissingNode()) {
			json.set("patch", patch.patch());
		}
		return json;
	}

	private static ObjectNode toJson(VersionNote note) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("version", note.version()).put("time", note.time().toString()).put("id", note.patchId());
		return json.put("author", note.author()).put("reason", note.reason());
	}

	private static ConfigPatch patch(JsonNode json, boolean requirePatch) throws MalformedRecordException {
		if (requirePatch) {
			require(json, "patch", json.has("patch"), "a merge patch");
		}
		return new ConfigPatch(text(json, "id"), number(json, "base"), text(json, "author"), text(json, "reason"),
				json.path("patch"));
	}

	private static ConfigSnapshot snapshot(JsonNode json) throws MalformedRecordException {
		require(json, "document", json.path("document").isObject(), "an object");
		Blame blame = Blame.decode(json.path("blame"))
			.orElseThrow(() -> new MalformedRecordException("blame is malformed, allowed: objects and versions"));
		SortedMap<Long, VersionNote> notes = new TreeMap<>();
		for (JsonNode note : json.path("notes")) {
			long version = number(note, "version");
			notes.put(version,
					new VersionNote(version, time(note), text(note, "id"), text(note, "author"), text(note, "reason")));
		}
		List<PatchOutcome> outcomes = new ArrayList<>();
		for (JsonNode outcome : json.path("outcomes")) {
			List<String> causes = new ArrayList<>();
			outcome.path("causes").forEach((cause) -> causes.add(cause.asText()));
			outcomes.add(new PatchOutcome(number(outcome, "offset"), time(outcome), patch(outcome, false),
					number(outcome, "version"), causes));
		}
		return new ConfigSnapshot(number(json, "next"), number(json, "version"), json.path("document"),
				new ConfigHistory(outcomes, blame, notes));
	}

	private static String text(JsonNode json, String key) throws MalformedRecordException {
		JsonNode value = json.path(key);
		require(json, key, value.isTextual() && value.textValue().length() <= MAX_TEXT_LENGTH,
				"a text of at most " + MAX_TEXT_LENGTH + " characters");
		return value.textValue();
	}

	private static long number(JsonNode json, String key) throws MalformedRecordException {
		JsonNode value = json.path(key);
		require(json, key, value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0,
				"a whole number from 0");
		return value.longValue();
	}

	private static Instant time(JsonNode json) throws MalformedRecordException {
		try {
			return Instant.parse(text(json, "time"));
		}
		catch (DateTimeException ex) {
			throw new MalformedRecordException(
					ConfigError.of("time", json.path("time"), "an ISO 8601 time").toString());
		}
	}

	private static void require(JsonNode json, String key, boolean valid, String allowed)
			throws MalformedRecordException {
		if (!valid) {
			throw new MalformedRecordException(ConfigError.of(key, json.path(key), allowed).toString());
		}
	}

}

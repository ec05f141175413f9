package org.hemlockgw.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.jspecify.annotations.Nullable;

/**
 * Reads and validates the members of one JSON object and collects errors. An invalid
 * member is replaced by its fallback, so that one pass finds all errors; the values are
 * valid only if there was no error. A {@code null} fallback makes a member required.
 */
public final class DocumentReader {

	private final JsonNode node;

	private final String path;

	private final List<ConfigError> errors;

	private final Set<String> readKeys = new TreeSet<>();

	/**
	 * Creates a reader.
	 * @param node the object; any other type is reported as an error and treated as an
	 * empty object
	 * @param path key path of the object; empty for the document itself
	 * @param errors list to which errors are added
	 */
	public DocumentReader(JsonNode node, String path, List<ConfigError> errors) {
		this(path, node, errors);
		if (!node.isObject()) {
			errors.add(ConfigError.of(path, node, "an object of keys and values"));
		}
	}

	private DocumentReader(String path, JsonNode node, List<ConfigError> errors) {
		this.path = path;
		this.node = node;
		this.errors = errors;
	}

	public String pathOf(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	public void addError(String key, String allowed) {
		this.errors.add(ConfigError.of(pathOf(key), this.node.path(key), allowed));
	}

	/**
	 * Reads an integer.
	 * @param key the key
	 * @param min lowest value allowed
	 * @param max highest value allowed
	 * @param fallback value of a missing key; {@code null} if required
	 * @return the value
	 */
	public long integer(String key, long min, long max, @Nullable Long fallback) {
		String allowed = "a whole number from " + min + " to " + max;
		Optional<JsonNode> value = member(key, fallback == null, allowed);
		if (value.isPresent()) {
			JsonNode v = value.get();
			if (v.isIntegralNumber() && v.canConvertToLong() && v.longValue() >= min && v.longValue() <= max) {
				return v.longValue();
			}
			addError(key, allowed);
		}
		return (fallback != null) ? fallback : min;
	}

	/**
	 * Reads a number above 0.
	 * @param key the key
	 * @param max highest value allowed
	 * @param fallback value of a missing key; {@code null} if required
	 * @return the value
	 */
	public double positiveNumber(String key, double max, @Nullable Double fallback) {
		String allowed = "a number above 0, up to " + max;
		Optional<JsonNode> value = member(key, fallback == null, allowed);
		if (value.isPresent()) {
			JsonNode v = value.get();
			if (v.isNumber() && v.doubleValue() > 0 && v.doubleValue() <= max) {
				return v.doubleValue();
			}
			addError(key, allowed);
		}
		return (fallback != null) ? fallback : 1;
	}

	public boolean booleanValue(String key, boolean fallback) {
		Optional<JsonNode> value = member(key, false, "true or false");
		if (value.isPresent() && !value.get().isBoolean()) {
			addError(key, "true or false");
		}
		return value.map((v) -> v.isBoolean() ? v.booleanValue() : fallback).orElse(fallback);
	}

	/**
	 * Reads a string.
	 * @param key the key
	 * @param check accepts allowed values
	 * @param allowed description of the allowed values, for error messages
	 * @param fallback value of a missing key; {@code null} if required
	 * @return the value
	 */
	public String text(String key, Predicate<String> check, String allowed, @Nullable String fallback) {
		Optional<JsonNode> value = member(key, fallback == null, allowed);
		if (value.isPresent()) {
			JsonNode v = value.get();
			if (v.isTextual() && check.test(v.textValue())) {
				return v.textValue();
			}
			addError(key, allowed);
		}
		return (fallback != null) ? fallback : "";
	}

	/**
	 * Reads a duration.
	 * @param key the key
	 * @param min lowest value allowed
	 * @param max highest value allowed
	 * @param fallback value of a missing key
	 * @return the value
	 */
	public Duration duration(String key, Duration min, Duration max, Duration fallback) {
		String allowed = "a duration from " + DurationText.format(min) + " to " + DurationText.format(max)
				+ " as a whole number and ms, s, m, h or d, such as 30s";
		Predicate<String> check = (text) -> DurationText.parse(text)
			.filter((parsed) -> parsed.compareTo(min) >= 0 && parsed.compareTo(max) <= 0)
			.isPresent();
		String text = text(key, check, allowed, DurationText.format(fallback));
		return DurationText.parse(text).orElse(fallback);
	}

	/**
	 * Reads a list of distinct strings. A missing key yields an empty list.
	 * @param key the key
	 * @param check accepts allowed values
	 * @param allowed description of the allowed values, for error messages
	 * @return the values in document order
	 */
	public Set<String> textSet(String key, Predicate<String> check, String allowed) {
		Set<String> result = new LinkedHashSet<>();
		Optional<JsonNode> list = member(key, false, "a list");
		if (list.isEmpty()) {
			return result;
		}
		if (!list.get().isArray()) {
			addError(key, "a list; each item " + allowed);
			return result;
		}
		for (int i = 0; i < list.get().size(); i++) {
			JsonNode item = list.get().get(i);
			if (!item.isTextual() || !check.test(item.textValue())) {
				this.errors.add(ConfigError.of(pathOf(key) + "[" + i + "]", item, allowed));
			}
			else if (!result.add(item.textValue())) {
				this.errors.add(ConfigError.of(pathOf(key) + "[" + i + "]", item, "each value once"));
			}
		}
		return result;
	}

	/**
	 * Reads an object with fixed keys. A missing key yields an empty object.
	 * @param key the key
	 * @return a reader of the object
	 */
	public DocumentReader object(String key) {
		if (!this.node.isObject()) {
			// This object has already been reported; its members cause no further errors.
			return new DocumentReader(pathOf(key), MissingNode.getInstance(), this.errors);
		}
		JsonNode value = member(key, false, "").orElse(JsonNodeFactory.instance.objectNode());
		return new DocumentReader(value, pathOf(key), this.errors);
	}

	/**
	 * Reads an object whose keys are the names of its entries. A missing key yields no
	 * entries.
	 * @param key the key
	 * @param check accepts allowed names
	 * @param allowed description of the allowed names, for error messages
	 * @return readers by name in document order
	 */
	public Map<String, DocumentReader> entries(String key, Predicate<String> check, String allowed) {
		Map<String, DocumentReader> result = new LinkedHashMap<>();
		DocumentReader map = object(key);
		for (Map.Entry<String, JsonNode> entry : map.node.properties()) {
			String name = entry.getKey();
			if (!check.test(name)) {
				map.addError(name, "a name of " + allowed);
			}
			result.put(name, new DocumentReader(entry.getValue(), map.pathOf(name), this.errors));
		}
		return result;
	}

	/**
	 * Reports keys that were not read. Call this after all members have been read.
	 */
	public void rejectUnknownKeys() {
		List<String> unknown = new ArrayList<>();
		this.node.fieldNames().forEachRemaining(unknown::add);
		unknown.removeAll(this.readKeys);
		unknown.forEach((key) -> addError(key, "the keys " + String.join(", ", this.readKeys)));
	}

	private Optional<JsonNode> member(String key, boolean required, String allowed) {
		this.readKeys.add(key);
		JsonNode value = this.node.path(key);
		if (!(value instanceof MissingNode)) {
			return Optional.of(value);
		}
		if (required && this.node.isObject()) {
			addError(key, allowed);
		}
		return Optional.empty();
	}

}

package org.hemlockgw.daemon.entry;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Reads checked fields of a JSON object. Errors name the field, the value and what is
 * allowed.
 */
final class JsonFields {

	/** A longer value is cut in error messages. */
	private static final int MAX_SHOWN = 80;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final JsonNode object;

	private JsonFields(JsonNode object) {
		this.object = object;
	}

	static JsonFields parse(byte[] body) {
		try {
			JsonNode node = MAPPER.readTree(body);
			if (node == null || !node.isObject()) {
				throw bad("body must be a JSON object");
			}
			return new JsonFields(node);
		}
		catch (IOException ex) {
			throw bad("body must be a JSON object: " + firstLine(ex));
		}
	}

	static ObjectMapper mapper() {
		return MAPPER;
	}

	boolean has(String field) {
		return this.object.hasNonNull(field);
	}

	JsonNode get(String field) {
		return this.object.path(field);
	}

	long requiredLong(String field, long min, long max) {
		JsonNode value = this.object.path(field);
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < min
				|| value.longValue() > max) {
			throw bad(field, value, "a whole number from " + min + " to " + max);
		}
		return value.longValue();
	}

	long optionalLong(String field, long min, long max, long otherwise) {
		return has(field) ? requiredLong(field, min, max) : otherwise;
	}

	String requiredText(String field) {
		JsonNode value = this.object.path(field);
		if (!value.isTextual() || value.textValue().isEmpty()) {
			throw bad(field, value, "a non-empty text");
		}
		return value.textValue();
	}

	@Nullable String optionalText(String field) {
		return has(field) ? requiredText(field) : null;
	}

	boolean optionalBoolean(String field) {
		JsonNode value = this.object.path(field);
		if (!has(field)) {
			return false;
		}
		if (!value.isBoolean()) {
			throw bad(field, value, "true or false");
		}
		return value.booleanValue();
	}

	static CallFailure bad(String field, JsonNode value, String allowed) {
		return bad(field, value.isMissingNode() ? "missing" : value.toString(), allowed);
	}

	static CallFailure bad(String field, String value, String allowed) {
		String shown = (value.length() > MAX_SHOWN) ? value.substring(0, MAX_SHOWN) + "..." : value;
		return bad(field + " must be " + allowed + ", was " + shown);
	}

	static CallFailure bad(String message) {
		return CallFailure.notRun(ErrorCode.BAD_REQUEST, message);
	}

	private static String firstLine(Exception ex) {
		return String.valueOf(ex.getMessage()).lines().findFirst().orElse("");
	}

}

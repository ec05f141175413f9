package org.hemlockgw.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An error in a document.
 *
 * @param path key path, for example {@code limits.max_turns} or
 * {@code client_accounts.a.models[0]}
 * @param value actual value as JSON, or {@code missing}
 * @param allowed description of the allowed values
 */
public record ConfigError(String path, String value, String allowed) {

	private static final int MAX_VALUE_LENGTH = 80;

	/**
	 * Creates an error for a value that is not allowed.
	 * @param path key path
	 * @param value actual value, or a missing node
	 * @param allowed description of the allowed values
	 * @return the error
	 */
	public static ConfigError of(String path, JsonNode value, String allowed) {
		String text = value.isMissingNode() ? "missing" : value.toString();
		if (text.length() > MAX_VALUE_LENGTH) {
			text = text.substring(0, MAX_VALUE_LENGTH) + "...";
		}
		return new ConfigError(path.isEmpty() ? "(document)" : path, text, allowed);
	}

	@Override
	public String toString() {
		return this.path + " = " + this.value + "; allowed: " + this.allowed;
	}

}

package org.hemlockgw.core.config;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One fault of a document.
 *
 * @param path key path, for example {@code limits.max_turns} or
 * {@code client_accounts.a.models[0]}
 * @param value the value found, as JSON, or {@code missing}
 * @param allowed what is allowed there
 */
public record ConfigError(String path, String value, String allowed) {

	private static final int MAX_VALUE_LENGTH = 80;

	/**
	 * Describes a value that is not allowed.
	 * @param path key path
	 * @param value the value found, or a missing node
	 * @param allowed what is allowed there
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

package org.hemlockgw.core.config;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Result of validating a document.
 *
 * @param configuration the configuration, or {@code null} if there are errors
 * @param errors all errors found; empty if the document is valid
 */
public record CheckResult(@Nullable Configuration configuration, List<ConfigError> errors) {

	public CheckResult {
		errors = List.copyOf(errors);
	}

}

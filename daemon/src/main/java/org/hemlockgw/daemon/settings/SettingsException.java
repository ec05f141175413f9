package org.hemlockgw.daemon.settings;

import java.util.List;
import java.util.stream.Collectors;

import org.hemlockgw.core.config.ConfigError;

/**
 * Settings that cannot be used. The daemon ends with exit status 2.
 */
public final class SettingsException extends Exception {

	private static final long serialVersionUID = 1L;

	private final transient List<ConfigError> errors;

	public SettingsException(List<ConfigError> errors) {
		super(errors.stream().map(ConfigError::toString).collect(Collectors.joining("\n")));
		this.errors = List.copyOf(errors);
	}

	public List<ConfigError> errors() {
		return this.errors;
	}

}

package org.hemlockgw.cli;

import java.lang.reflect.Constructor;

import picocli.CommandLine;
import picocli.CommandLine.IFactory;

/**
 * Creates commands and passes them the clients.
 */
final class CommandFactory implements IFactory {

	private final Platform platform;

	CommandFactory(Platform platform) {
		this.platform = platform;
	}

	@Override
	public <K> K create(Class<K> type) throws Exception {
		for (Constructor<?> constructor : type.getDeclaredConstructors()) {
			if (constructor.getParameterCount() == 1 && constructor.getParameterTypes()[0] == Platform.class) {
				return type.cast(constructor.newInstance(this.platform));
			}
		}
		return CommandLine.defaultFactory().create(type);
	}

}

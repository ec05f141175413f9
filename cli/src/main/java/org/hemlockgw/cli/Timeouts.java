package org.hemlockgw.cli;

import java.time.Duration;

/**
 * Time limits of commands.
 */
final class Timeouts {

	/** One request. */
	static final Duration REQUEST = Duration.ofSeconds(5);

	/** Reading a stream from its latest snapshot or from the beginning. */
	static final Duration LOAD = Duration.ofSeconds(30);

	/** Pause before a request is repeated. */
	static final Duration RETRY = Duration.ofMillis(300);

	private Timeouts() {
	}

}

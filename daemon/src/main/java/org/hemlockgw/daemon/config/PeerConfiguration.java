package org.hemlockgw.daemon.config;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.config.ConfigSnapshot;

/**
 * Fetches the configuration in force from another daemon, for the time that the log
 * cannot be read.
 */
@FunctionalInterface
public interface PeerConfiguration {

	/**
	 * Asks a peer. Each call may ask a different one.
	 * @return the peer's state; fails if no peer answers
	 */
	CompletableFuture<ConfigSnapshot> fetch();

}

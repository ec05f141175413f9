package org.hemlockgw.daemon.routing;

import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.ProgramId;

/**
 * Asks another daemon's dispatcher to release the cache session of an ended program.
 */
@FunctionalInterface
public interface ReleaseSender {

	/**
	 * Sends the order.
	 * @param address address of the daemon's peer listener
	 * @param engine name of the backend server
	 * @param program the ended program
	 * @return completes when the dispatcher has taken the order over
	 */
	CompletableFuture<Void> send(String address, String engine, ProgramId program);

}

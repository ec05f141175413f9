package org.hemlockgw.core.membership;

import java.util.concurrent.CompletableFuture;

/**
 * Sends heartbeats to other daemons.
 */
@FunctionalInterface
public interface PeerProbe {

	/**
	 * Sends one heartbeat.
	 * @param vm the VM of the daemon
	 * @return the response; fails if none arrives within the heartbeat timeout
	 */
	CompletableFuture<PeerStatus> probe(Vm vm);

}

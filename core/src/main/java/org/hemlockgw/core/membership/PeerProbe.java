package org.hemlockgw.core.membership;

import java.util.concurrent.CompletableFuture;

/**
 * Sends heartbeats to other daemons.
 */
@FunctionalInterface
public interface PeerProbe {

	/**
	 * Sends one heartbeat.
	 * @param vm the daemon's VM
	 * @return its answer; fails when there is none within the heartbeat timeout
	 */
	CompletableFuture<PeerStatus> probe(Vm vm);

}

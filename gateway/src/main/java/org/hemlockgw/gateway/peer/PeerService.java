package org.hemlockgw.gateway.peer;

import java.util.function.Consumer;

/**
 * Handles what other daemons ask. Runs on the event loop.
 */
public interface PeerService {

	/**
	 * Handles a message.
	 * @param sender name of the sending daemon; empty before it said hello
	 * @param message the message
	 * @param reply takes replies; those after a lost connection are dropped
	 */
	void handle(String sender, PeerMessage message, Consumer<PeerMessage> reply);

	/**
	 * A daemon's connection was lost.
	 * @param sender its name
	 */
	void connectionLost(String sender);

}

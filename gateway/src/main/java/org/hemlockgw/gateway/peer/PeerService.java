package org.hemlockgw.gateway.peer;

import java.util.function.Consumer;

/**
 * Handles messages from other daemons. All methods are called on the event loop.
 */
public interface PeerService {

	/**
	 * Handles a message.
	 * @param sender name of the sending daemon; empty before its
	 * {@link PeerMessage.Hello} has arrived
	 * @param message the message
	 * @param reply sends a reply; replies after the connection was lost are discarded
	 */
	void handle(String sender, PeerMessage message, Consumer<PeerMessage> reply);

	/**
	 * Called when the connection from a daemon was lost.
	 * @param sender name of the daemon
	 */
	void connectionLost(String sender);

}

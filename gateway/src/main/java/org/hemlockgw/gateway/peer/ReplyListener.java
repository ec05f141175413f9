package org.hemlockgw.gateway.peer;

/**
 * Receives the replies to one request.
 */
public interface ReplyListener {

	void reply(PeerMessage message);

	/**
	 * No further reply will come.
	 * @param cause what happened
	 */
	void failed(String cause);

}

package org.hemlockgw.gateway.peer;

/**
 * Receives the replies to one request.
 */
public interface ReplyListener {

	void onReply(PeerMessage message);

	/**
	 * No further reply will come.
	 * @param cause what happened
	 */
	void onFailure(String cause);

}

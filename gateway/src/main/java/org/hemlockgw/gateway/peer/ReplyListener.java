package org.hemlockgw.gateway.peer;

/**
 * Receives the replies to one request.
 */
public interface ReplyListener {

	void onReply(PeerMessage message);

	/**
	 * Called when no further reply will arrive.
	 * @param cause description of the failure
	 */
	void onFailure(String cause);

}

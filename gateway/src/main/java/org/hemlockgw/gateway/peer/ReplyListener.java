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

	/**
	 * Called instead of {@link #onFailure} if the daemon's address refuses connections,
	 * so that its process has ended.
	 * @param cause cause of the failure
	 */
	default void onRefused(String cause) {
		onFailure(cause);
	}

}

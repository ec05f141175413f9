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

	/**
	 * Returns whether a first reply after the timeout is of use.
	 * @return whether {@link #onLateReply} is to be called
	 */
	default boolean acceptsLateReply() {
		return false;
	}

	/**
	 * Called after {@link #onFailure} if the first reply arrives later than the timeout.
	 * @param message the reply
	 */
	default void onLateReply(PeerMessage message) {
	}

}

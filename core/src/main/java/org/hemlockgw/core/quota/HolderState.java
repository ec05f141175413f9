package org.hemlockgw.core.quota;

/**
 * State of a daemon as the holder of a shard's client accounts.
 */
public enum HolderState {

	/** The daemon doesn't hold the shard. */
	NOT_HOLDER,
	/** The daemon waits for the state or the end of the previous holder. */
	WAITING,
	/** The daemon grants permits at the full rate. */
	CONFIRMED,
	/** The daemon grants only a few permits, as its membership is not confirmed. */
	UNCONFIRMED

}

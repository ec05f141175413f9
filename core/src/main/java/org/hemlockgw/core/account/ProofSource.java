package org.hemlockgw.core.account;

/**
 * Origin of a proof that the configuration was the newest one.
 */
public enum ProofSource {

	/** Complete read of the configuration from the store. */
	READ,

	/** Answered poll of the store for changes. */
	POLL,

	/** Another daemon. */
	PEER

}

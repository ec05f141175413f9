package org.hemlockgw.core.store;

/**
 * Outcome of an append to the state store.
 */
public enum AppendOutcome {

	/** The records are durable. */
	STORED,

	/** Another writer has a higher epoch; nothing was appended. */
	FENCED

}

package org.hemlockgw.core.store;

/**
 * Answer of the store to an append.
 */
public enum AppendOutcome {

	/** The records are durable. */
	STORED,

	/** Another writer has a higher epoch; nothing was appended. */
	FENCED

}

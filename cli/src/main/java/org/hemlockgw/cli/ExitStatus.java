package org.hemlockgw.cli;

/**
 * Exit statuses of {@code hemlockctl}.
 */
final class ExitStatus {

	/** Done. */
	static final int DONE = 0;

	/** Rejected or failed. */
	static final int FAILED = 1;

	/** Wrong usage or invalid input; nothing was sent. */
	static final int INVALID = 2;

	private ExitStatus() {
	}

}

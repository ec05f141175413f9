package org.hemlockgw.cli;

/**
 * Ends a command with a message on standard error and an exit status.
 */
final class CommandFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final int status;

	private CommandFailure(int status, String message) {
		super(message);
		this.status = status;
	}

	static CommandFailure failed(String message) {
		return new CommandFailure(ExitStatus.FAILED, message);
	}

	static CommandFailure invalid(String message) {
		return new CommandFailure(ExitStatus.INVALID, message);
	}

	int status() {
		return this.status;
	}

}

package org.hemlockgw.core.limit;

/**
 * Cause for which a client's connection is closed.
 */
public enum CloseCause {

	/** The head of a request was not received within the time limit. */
	HEAD_TIMEOUT("head_timeout"),

	/** The body of a request is received too slowly. */
	BODY_TIMEOUT("body_timeout"),

	/** The client does not read its response. */
	UNREAD_RESPONSE("unread_response"),

	/** The connection holds memory without progress while others need it. */
	MEMORY("memory"),

	/** Too many connections are open. */
	CONNECTIONS("connections");

	private final String label;

	CloseCause(String label) {
		this.label = label;
	}

	/**
	 * Returns the name of the cause in metrics and log lines.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

}

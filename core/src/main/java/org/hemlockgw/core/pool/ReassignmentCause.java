package org.hemlockgw.core.pool;

/**
 * Reason for which a session is placed at another server than before.
 */
public enum ReassignmentCause {

	/** The server was removed, is draining, or has failed the request. */
	SERVER_UNAVAILABLE,

	/** All slots of the server are in use. */
	NO_SLOT,

	/** The running requests leave too little memory. */
	NO_MEMORY,

	/** The server is avoided because it failed a request. */
	AVOIDED,

	/** Another server is expected to respond earlier by more than the margin. */
	FASTER_SERVER

}

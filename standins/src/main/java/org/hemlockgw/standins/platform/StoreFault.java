package org.hemlockgw.standins.platform;

/**
 * How the store treats the calls of all clients.
 */
public enum StoreFault {

	/** Calls are executed and answered. */
	NONE,

	/** Calls are rejected with 503. */
	BUSY,

	/** Connections are reset. */
	RESET,

	/**
	 * Calls are read and neither executed nor answered. Their connections stay silent
	 * after the fault has ended.
	 */
	SILENT,

	/** Calls are executed after a delay. */
	SLOW,

	/** All calls are executed, but some are not answered. */
	LOSING

}

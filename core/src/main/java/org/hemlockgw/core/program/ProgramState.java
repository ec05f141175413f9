package org.hemlockgw.core.program;

/**
 * Life-cycle state of a program.
 */
public enum ProgramState {

	/** Accepts calls. */
	RUNNING,

	/** Ended by its caller. */
	ENDED,

	/** Ended by the system, by a limit or by idle time. */
	EXPIRED

}

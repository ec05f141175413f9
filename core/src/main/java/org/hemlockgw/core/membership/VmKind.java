package org.hemlockgw.core.membership;

/**
 * Kind of process that runs on a VM.
 */
public enum VmKind {

	/** A daemon of this system. */
	ENTRY,

	/** A backend server. */
	BACKEND

}

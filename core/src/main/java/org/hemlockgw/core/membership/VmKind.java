package org.hemlockgw.core.membership;

/**
 * What a VM runs.
 */
public enum VmKind {

	/** A daemon of this system. */
	ENTRY,

	/** A backend server. */
	BACKEND

}

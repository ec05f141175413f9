package org.hemlockgw.core.membership;

/**
 * State of a VM in the VM list.
 */
public enum VmState {

	/** In service. */
	LIVE,

	/** About to be removed; accepts no new work. */
	LEAVING

}

package org.hemlockgw.core.membership;

/**
 * State of a VM in the VM list.
 */
public enum VmState {

	/** In service. */
	LIVE,

	/** To be removed; it takes no new work. */
	LEAVING

}

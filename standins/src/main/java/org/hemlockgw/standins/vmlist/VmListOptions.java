package org.hemlockgw.standins.vmlist;

/**
 * Initial settings of the VM list.
 *
 * @param lagMs how long a change stays invisible
 */
public record VmListOptions(long lagMs) {

	/** No lag. */
	public static final VmListOptions DEFAULT = new VmListOptions(0);

}

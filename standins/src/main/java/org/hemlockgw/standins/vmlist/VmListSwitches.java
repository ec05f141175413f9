package org.hemlockgw.standins.vmlist;

/**
 * Faults of the VM list.
 *
 * @param lagMs how long a change stays invisible
 * @param outage answers reads with 503
 */
public record VmListSwitches(long lagMs, boolean outage) {
}

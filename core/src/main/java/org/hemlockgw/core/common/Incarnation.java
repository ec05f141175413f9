package org.hemlockgw.core.common;

/**
 * One run of a daemon as a member of the system. A daemon that restarts, or continues
 * after it was reported as down, gets a new incarnation with its own ledger.
 *
 * @param vm name of the VM
 * @param id random identifier, unique among the incarnations of all daemons
 */
public record Incarnation(String vm, String id) {

	/**
	 * Returns the name of the log stream that contains the ledger. Only this incarnation
	 * writes to it, except for the seals of its successors.
	 * @return the stream name
	 */
	public String ledgerStream() {
		return "ledger-" + this.vm + "-" + this.id;
	}

}

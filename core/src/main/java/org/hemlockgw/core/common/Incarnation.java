package org.hemlockgw.core.common;

/**
 * One life of a daemon. A restarted daemon, or one that was reported down, is a new
 * incarnation with a ledger of its own.
 *
 * @param vm name of the VM
 * @param id random text, unique among the incarnations of all daemons
 */
public record Incarnation(String vm, String id) {

	/**
	 * Returns the name of the log stream that this incarnation alone writes, but for
	 * seals.
	 * @return the stream name
	 */
	public String ledgerStream() {
		return "ledger-" + this.vm + "-" + this.id;
	}

}

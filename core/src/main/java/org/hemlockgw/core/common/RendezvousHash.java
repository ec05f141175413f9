package org.hemlockgw.core.common;

/**
 * Score of weighted rendezvous hashing. A key belongs to the node with the highest score,
 * so that a node that is added or removed changes only the keys that it gains or loses.
 */
public final class RendezvousHash {

	private static final double TWO_POW_53 = 0x1.0p53;

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a node for a key.
	 * @param key hash of the key
	 * @param nodeHash hash of the node's name
	 * @param weight relative capacity of the node
	 * @return the score, at least 0
	 */
	public static double score(long key, long nodeHash, double weight) {
		if (!(weight > 0)) {
			return 0;
		}
		double unit = ((StableHash.combine(key, nodeHash) >>> 11) + 0.5) / TWO_POW_53;
		return -weight / Math.log(unit);
	}

}

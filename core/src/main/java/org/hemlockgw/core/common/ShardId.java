package org.hemlockgw.core.common;

/**
 * A hash partition of the programs and the unit of ownership.
 *
 * @param value index from 0 to {@code COUNT - 1}
 */
public record ShardId(int value) implements Comparable<ShardId> {

	/**
	 * Number of shards. With 350 daemons, each owns about 12 shards, enough to distribute
	 * them by weight.
	 */
	public static final int COUNT = 4096;

	public ShardId {
		if (value < 0 || value >= COUNT) {
			throw new IllegalArgumentException("shard must be from 0 to " + (COUNT - 1) + ", was " + value);
		}
	}

	@Override
	public int compareTo(ShardId other) {
		return Integer.compare(this.value, other.value);
	}

}

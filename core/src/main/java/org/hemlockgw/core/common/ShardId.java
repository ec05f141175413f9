package org.hemlockgw.core.common;

/**
 * A hash range of programs; the unit of ownership.
 *
 * @param value index from 0 to {@code COUNT - 1}
 */
public record ShardId(int value) implements Comparable<ShardId> {

	/**
	 * At 350 daemons this gives each about 12 shards, so that weights can be honoured.
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

package org.hemlockgw.core.store;

import java.util.Map;

/**
 * Members that hold the shards.
 *
 * @param generation generation of the assignment
 * @param members names by shard number
 */
public record ShardHolders(long generation, Map<Integer, String> members) {
}

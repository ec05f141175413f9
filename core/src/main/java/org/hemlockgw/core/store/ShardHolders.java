package org.hemlockgw.core.store;

import java.util.Map;

/**
 * Members that currently hold the shards.
 *
 * @param generation generation number of the assignment
 * @param members member names by shard number
 */
public record ShardHolders(long generation, Map<Integer, String> members) {
}

package org.hemlockgw.core.store;

import java.util.Set;

/**
 * Shards that the store assigns to one member.
 *
 * @param generation generation number, which increases with each change of the assignment
 * @param shards numbers of the shards assigned to the member
 */
public record ShardAssignment(long generation, Set<Integer> shards) {
}

package org.hemlockgw.core.store;

import java.util.Set;

/**
 * Shards that the store assigns to one member.
 *
 * @param generation grows with each change of the assignment
 * @param shards numbers of the member's shards
 */
public record ShardAssignment(long generation, Set<Integer> shards) {
}

package org.hemlockgw.gateway.owner;

/**
 * The daemon that held a shard last, other than this one.
 *
 * @param address its peer address
 * @param generation newest generation in which it is known to have held the shard
 * @param sinceNanos monotonic time since which it is known to have held it
 */
public record PreviousHolder(String address, long generation, long sinceNanos) {
}

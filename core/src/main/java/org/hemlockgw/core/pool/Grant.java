package org.hemlockgw.core.pool;

/**
 * A slot that a request holds.
 *
 * @param server the server
 * @param request the request
 * @param grantedAtNanos time of the grant on the scheduler's clock
 * @param warm whether the server had run the previous request of the session
 * @param restored whether an earlier scheduler granted the slot
 */
record Grant(PoolServer server, SlotRequest request, long grantedAtNanos, boolean warm, boolean restored) {
}

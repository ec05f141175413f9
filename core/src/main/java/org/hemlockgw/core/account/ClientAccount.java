package org.hemlockgw.core.account;

import org.jspecify.annotations.Nullable;

/**
 * A client account of the routing configuration.
 *
 * @param name unique name
 * @param priority priority of its requests, which takes precedence over the priority of
 * their route; null to use the route's
 * @param cap limit on its requests; null if they are not limited
 */
public record ClientAccount(String name, @Nullable Integer priority, @Nullable RateLimit cap) {
}

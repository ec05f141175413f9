package org.hemlockgw.daemon.admin;

/**
 * Whether a daemon may receive calls.
 *
 * @param ready whether it may
 * @param detail what it waits for, or empty if it is ready
 */
public record Readiness(boolean ready, String detail) {
}

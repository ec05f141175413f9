package org.hemlockgw.core.account;

/**
 * Limit on the requests of a client account, summed over all daemons.
 *
 * @param ratePerSecond requests per second, positive
 * @param burst requests in addition to the rate
 */
public record RateLimit(double ratePerSecond, double burst) {
}

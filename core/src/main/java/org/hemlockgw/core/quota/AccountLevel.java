package org.hemlockgw.core.quota;

/**
 * State of one client account that a holder hands over.
 *
 * @param account name of the account
 * @param level level of its bucket in permits
 * @param credits number of returned permits that may be credited
 */
public record AccountLevel(String account, float level, float credits) {
}

package org.hemlockgw.core.quota;

/**
 * Request for the permit of one request of a client account.
 *
 * @param account name of the account
 * @param program hash of the program's identifier; 0 if the request belongs to none
 * @param mayBegin whether the request may be the first one of its program
 */
public record PermitRequest(String account, int program, boolean mayBegin) {
}

package org.hemlockgw.core.account;

import org.jspecify.annotations.Nullable;

/**
 * Scope to which a request and its identifiers belong: a client account, the public
 * routes, or the whole gateway if accounts are disabled.
 *
 * @param enabled whether the configuration has accounts
 * @param account account of the request; null on public routes and without accounts
 */
public record AccountScope(boolean enabled, @Nullable ClientAccount account) {

	private static final String MARK = "\n";

	/** Scope of all requests if accounts are disabled. */
	public static final AccountScope DISABLED = new AccountScope(false, null);

	/** Scope of requests on public routes if accounts are enabled. */
	public static final AccountScope PUBLIC = new AccountScope(true, null);

	/**
	 * Returns the scope of an account's requests.
	 * @param account the account
	 * @return the scope
	 */
	public static AccountScope of(ClientAccount account) {
		return new AccountScope(true, account);
	}

	/**
	 * Returns the name of the account.
	 * @return the name; empty if there is no account
	 */
	public String accountName() {
		return (this.account != null) ? this.account.name() : "";
	}

	/**
	 * Returns the priority of a request.
	 * @param routePriority priority of its route
	 * @return the account's priority if it has one, else the route's
	 */
	public int priority(int routePriority) {
		Integer own = (this.account != null) ? this.account.priority() : null;
		return (own != null) ? own : routePriority;
	}

	/**
	 * Makes a caller's identifier unique among all accounts. The length prefix separates
	 * the account's name from the identifier, so that no identifier of one account equals
	 * one of another, whatever characters both contain. The line feed in front can't be
	 * part of an HTTP header value, so that no caller can send a qualified identifier to
	 * a daemon whose configuration has no accounts yet.
	 * @param identifier identifier of a request or program
	 * @return the qualified identifier; unchanged if accounts are disabled
	 */
	public String qualify(String identifier) {
		if (!this.enabled) {
			return identifier;
		}
		String name = accountName();
		return MARK + name.length() + ":" + name + identifier;
	}

}

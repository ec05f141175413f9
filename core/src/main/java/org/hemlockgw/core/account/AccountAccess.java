package org.hemlockgw.core.account;

import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;

/**
 * Decides to which client account a request belongs.
 */
public final class AccountAccess {

	private static final String SCHEME = "Bearer ";

	private AccountAccess() {
	}

	/**
	 * Decides on a request.
	 * @param accounts accounts of the configuration; null if accounts are disabled
	 * @param publicRoute whether the route needs no key
	 * @param proofValid returns whether the configuration is known to be recent enough
	 * for the use of its keys; called only if a key is needed
	 * @param credentials value of the caller's authorization header; null if missing
	 * @return the decision
	 */
	public static Decision decide(@Nullable AccountDirectory accounts, boolean publicRoute, BooleanSupplier proofValid,
			@Nullable String credentials) {
		if (accounts == null) {
			return new Decision(Outcome.ACCEPTED, AccountScope.DISABLED);
		}
		if (publicRoute) {
			return new Decision(Outcome.ACCEPTED, AccountScope.PUBLIC);
		}
		// A newer configuration may contain a key that is unknown here, so 401 would not
		// be final.
		if (!proofValid.getAsBoolean()) {
			return new Decision(Outcome.PROOF_TOO_OLD, AccountScope.PUBLIC);
		}
		String key = parseKey(credentials);
		if (key == null) {
			return new Decision(Outcome.KEY_MISSING, AccountScope.PUBLIC);
		}
		ClientAccount account = accounts.findByKey(key);
		return (account != null) ? new Decision(Outcome.ACCEPTED, AccountScope.of(account))
				: new Decision(Outcome.KEY_UNKNOWN, AccountScope.PUBLIC);
	}

	private static @Nullable String parseKey(@Nullable String credentials) {
		if (credentials == null || !credentials.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return null;
		}
		String key = credentials.substring(SCHEME.length()).trim();
		return key.isEmpty() ? null : key;
	}

	/**
	 * Outcome of a decision.
	 */
	public enum Outcome {

		/** The request may run. */
		ACCEPTED,

		/** The configuration may be older than the limit for revoked keys. */
		PROOF_TOO_OLD,

		/** The request has no key, or its credentials have another scheme. */
		KEY_MISSING,

		/** No account has the key. */
		KEY_UNKNOWN

	}

	/**
	 * Decision on a request.
	 *
	 * @param outcome whether the request may run
	 * @param scope scope of an accepted request
	 */
	public record Decision(Outcome outcome, AccountScope scope) {
	}

}

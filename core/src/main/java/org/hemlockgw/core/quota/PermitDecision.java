package org.hemlockgw.core.quota;

/**
 * Decision about a {@link PermitRequest}.
 *
 * @param status outcome
 * @param permit identifier of the granted permit, otherwise 0
 * @param retryAfterMs time in milliseconds after which a denied request will be granted
 */
public record PermitDecision(Status status, long permit, long retryAfterMs) {

	/** Decision of a daemon that can't decide. */
	public static final PermitDecision NOT_READY = new PermitDecision(Status.NOT_READY, 0, 0);

	/** Decision of a daemon that doesn't hold the account. */
	public static final PermitDecision NOT_HOLDER = new PermitDecision(Status.NOT_HOLDER, 0, 0);

	/** Decision about a request of an account without a cap. */
	public static final PermitDecision UNLIMITED = new PermitDecision(Status.GRANTED, 0, 0);

	/**
	 * Outcome of a request for a permit.
	 */
	public enum Status {

		/** The request may run once. */
		GRANTED,
		/** The account has reached its cap. */
		DENIED,
		/** The account has reached its cap with the programs under way. */
		PROGRAM_DENIED,
		/** The daemon can't decide at present. */
		NOT_READY,
		/** The daemon doesn't hold the account. */
		NOT_HOLDER

	}

}

package org.hemlockgw.core.retry;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.Verdict;

/**
 * Decides by verdict and error code whether a failed attempt may be repeated.
 */
public final class RetryRules {

	private RetryRules() {
	}

	/**
	 * Decides on another attempt of a call.
	 * @param failure failure of the last attempt
	 * @param idempotent whether the call may run more than once
	 * @return whether another attempt is allowed and may help
	 */
	public static boolean isRetryable(CallFailure failure, boolean idempotent) {
		if (failure.verdict() == Verdict.RAN || (!idempotent && failure.verdict() != Verdict.NOT_RUN)) {
			return false;
		}
		return switch (failure.code()) {
			case OVERLOADED, OWNER_UNAVAILABLE, BACKEND_UNAVAILABLE, BACKEND_FAILED, DEADLINE_EXCEEDED, SHUTTING_DOWN,
					NOT_OWNER, INTERNAL ->
				true;
			default -> false;
		};
	}

	/**
	 * Tells whether an attempt was handed back unrun because its server or dispatcher is
	 * leaving. Handed-back work adds no load, so its first repeat is not taken from the
	 * retry budget; otherwise a planned stop with a full queue would fail calls.
	 * @param failure failure of the attempt
	 * @return whether it was handed back
	 */
	public static boolean isDrainRejection(CallFailure failure) {
		return failure.verdict() == Verdict.NOT_RUN && switch (failure.code()) {
			case BACKEND_UNAVAILABLE, SHUTTING_DOWN, NOT_OWNER, OWNER_UNAVAILABLE -> true;
			default -> false;
		};
	}

}

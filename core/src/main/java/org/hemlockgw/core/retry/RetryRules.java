package org.hemlockgw.core.retry;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.Verdict;

/**
 * Decides from the verdict and error code of a failed attempt whether to retry it.
 */
public final class RetryRules {

	private RetryRules() {
	}

	/**
	 * Returns whether a failed call may be retried.
	 * @param failure failure of the last attempt
	 * @param idempotent whether the call may run more than once
	 * @return whether a retry is safe and may succeed
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
	 * Returns whether an attempt was rejected without running because its server or
	 * dispatcher is draining. Such an attempt adds no load, so its first retry is not
	 * taken from the retry budget; otherwise a planned shutdown with a full queue would
	 * fail calls.
	 * @param failure failure of the attempt
	 * @return whether the attempt was rejected because of a drain
	 */
	public static boolean isDrainRejection(CallFailure failure) {
		return failure.verdict() == Verdict.NOT_RUN && switch (failure.code()) {
			case BACKEND_UNAVAILABLE, SHUTTING_DOWN, NOT_OWNER, OWNER_UNAVAILABLE -> true;
			default -> false;
		};
	}

}

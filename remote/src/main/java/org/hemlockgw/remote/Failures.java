package org.hemlockgw.remote;

import java.net.SocketTimeoutException;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;

/**
 * Verdicts of failed requests to backend servers.
 */
final class Failures {

	private Failures() {
	}

	/**
	 * Converts the failure of a request to a backend server.
	 * @param ex what went wrong
	 * @return the failure, NOT_RUN only when proven
	 */
	static CallFailure of(Exception ex) {
		if (ex instanceof CallFailure failure) {
			return failure;
		}
		if (ex instanceof NotSentException) {
			return CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, String.valueOf(ex.getMessage()));
		}
		if (ex instanceof StatusException status) {
			return ofStatus(status);
		}
		if (ex instanceof SocketTimeoutException) {
			return CallFailure.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, String.valueOf(ex.getMessage()));
		}
		return CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED, ex.toString());
	}

	private static CallFailure ofStatus(StatusException ex) {
		Verdict verdict = ex.notAdmitted() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
		ErrorCode code = switch (ex.status()) {
			case 400 -> ErrorCode.BAD_REQUEST;
			case 404 -> ErrorCode.NOT_FOUND;
			case 429 -> ErrorCode.OVERLOADED;
			case 503 -> ex.notAdmitted() ? ErrorCode.BACKEND_UNAVAILABLE : ErrorCode.BACKEND_FAILED;
			default -> ErrorCode.BACKEND_FAILED;
		};
		return new CallFailure(code, verdict, String.valueOf(ex.getMessage()), ex.retryAfter());
	}

}

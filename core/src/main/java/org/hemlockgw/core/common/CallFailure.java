package org.hemlockgw.core.common;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Failure of a request. Futures on the request path complete exceptionally only with this
 * type.
 */
public final class CallFailure extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorCode code;

	private final Verdict verdict;

	private final transient @Nullable Duration retryAfter;

	public CallFailure(ErrorCode code, Verdict verdict, String message) {
		this(code, verdict, message, null);
	}

	public CallFailure(ErrorCode code, Verdict verdict, String message, @Nullable Duration retryAfter) {
		// No stack trace, because failures are frequent under overload.
		super(message, null, false, false);
		this.code = code;
		this.verdict = verdict;
		this.retryAfter = retryAfter;
	}

	public static CallFailure notRun(ErrorCode code, String message) {
		return new CallFailure(code, Verdict.NOT_RUN, message);
	}

	public static CallFailure mayHaveRun(ErrorCode code, String message) {
		return new CallFailure(code, Verdict.MAY_HAVE_RUN, message);
	}

	/**
	 * Converts the cause of a failed future to a failure. For a throwable other than
	 * {@code CallFailure} it is unknown whether the request ran, so the verdict is
	 * {@code MAY_HAVE_RUN}.
	 * @param thrown throwable of the future, possibly wrapped
	 * @return the failure
	 */
	public static CallFailure of(Throwable thrown) {
		Throwable t = thrown;
		while (t != null) {
			if (t instanceof CallFailure failure) {
				return failure;
			}
			t = t.getCause();
		}
		return mayHaveRun(ErrorCode.INTERNAL, String.valueOf(thrown));
	}

	@Override
	public String getMessage() {
		return String.valueOf(super.getMessage());
	}

	public ErrorCode code() {
		return this.code;
	}

	public Verdict verdict() {
		return this.verdict;
	}

	public @Nullable Duration retryAfter() {
		return this.retryAfter;
	}

}

package org.hemlockgw.core.common;

import java.util.Locale;

/**
 * Machine-readable cause of a failed request and the HTTP status that is returned to
 * callers.
 */
public enum ErrorCode {

	/** The request is malformed. The message states the field and the allowed values. */
	BAD_REQUEST(400),

	/** The API key is missing or does not belong to a client account. */
	UNAUTHENTICATED(401),

	/** The program, model or backend server does not exist for this client account. */
	NOT_FOUND(404),

	/** The program has ended. */
	PROGRAM_ENDED(409),

	/** The messages of the request differ from the stored history. */
	HISTORY_MISMATCH(409),

	/**
	 * Part of the history is missing in this daemon. The caller should send the full
	 * history.
	 */
	HISTORY_MISSING(409),

	/** The idempotency key was already used for a different request. */
	IDEMPOTENCY_CONFLICT(409),

	/** The program's remaining budget does not cover the request's upper bound. */
	BUDGET_EXHAUSTED(402),

	/** A limit on turns, wall time, depth or size was reached. */
	LIMIT_REACHED(422),

	/** The content of the request has crashed engines and is quarantined. */
	QUARANTINED(422),

	/** The request was rejected due to overload. Retry after the given time. */
	OVERLOADED(429),

	/**
	 * The log does not accept the record that must be durable before the request runs.
	 */
	LOG_UNAVAILABLE(503),

	/** The owner of the program is unreachable or is changing. */
	OWNER_UNAVAILABLE(503),

	/** No backend server can accept the request. */
	BACKEND_UNAVAILABLE(503),

	/** The backend server failed while it processed the request. */
	BACKEND_FAILED(502),

	/** The deadline of the request has passed. */
	DEADLINE_EXCEEDED(504),

	/** The caller or the system cancelled the request. */
	CANCELLED(499),

	/** This daemon is shutting down. */
	SHUTTING_DOWN(503),

	/** This daemon no longer owns the shard. The request must be routed again. */
	NOT_OWNER(503),

	/** An unexpected internal error. */
	INTERNAL(500);

	private final int httpStatus;

	ErrorCode(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the name that is used in HTTP error responses.
	 * @return the lower-case name, for example {@code budget_exhausted}
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}

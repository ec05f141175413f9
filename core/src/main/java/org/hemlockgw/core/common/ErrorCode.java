package org.hemlockgw.core.common;

import java.util.Locale;

/**
 * Machine-readable cause of a failed request, with the HTTP status that callers see.
 */
public enum ErrorCode {

	/** The request is malformed; the message names the field and what is allowed. */
	BAD_REQUEST(400),

	/** The key is missing or belongs to no client account. */
	UNAUTHENTICATED(401),

	/** No such program, model or backend server for this client account. */
	NOT_FOUND(404),

	/** The program has ended. */
	PROGRAM_ENDED(409),

	/** The messages sent differ from the stored history. */
	HISTORY_MISMATCH(409),

	/** This daemon lacks part of the history; the caller sends it again in full. */
	HISTORY_MISSING(409),

	/** The same idempotency key was used for a different request. */
	IDEMPOTENCY_CONFLICT(409),

	/** The program's remaining budget does not cover the request's upper bound. */
	BUDGET_EXHAUSTED(402),

	/** A limit on turns, wall time, depth or size is reached. */
	LIMIT_REACHED(422),

	/** The request's content has crashed engines and is quarantined. */
	QUARANTINED(422),

	/** Load was shed; try again after the given time. */
	OVERLOADED(429),

	/** The log does not accept the record that this request needs first. */
	LOG_UNAVAILABLE(503),

	/** The owner of the program cannot be reached or is changing. */
	OWNER_UNAVAILABLE(503),

	/** No backend server can take the request. */
	BACKEND_UNAVAILABLE(503),

	/** The backend server failed while running the request. */
	BACKEND_FAILED(502),

	/** The deadline passed. */
	DEADLINE_EXCEEDED(504),

	/** The caller or the system cancelled the request. */
	CANCELLED(499),

	/** This daemon is shutting down. */
	SHUTTING_DOWN(503),

	/** This daemon no longer owns the shard; route again. */
	NOT_OWNER(503),

	/** An unexpected fault of the system. */
	INTERNAL(500);

	private final int httpStatus;

	ErrorCode(int httpStatus) {
		this.httpStatus = httpStatus;
	}

	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns the name used in HTTP errors.
	 * @return the lower-case name, for example {@code budget_exhausted}
	 */
	public String wireName() {
		return name().toLowerCase(Locale.ROOT);
	}

}

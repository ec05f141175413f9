package org.hemlockgw.daemon.entry;

import java.util.UUID;
import java.util.regex.Pattern;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.ProgramId;

/**
 * Checked request headers.
 */
final class CallHeaders {

	static final String PROGRAM = "X-Hemlock-Program";

	static final String REQUEST = "X-Hemlock-Request";

	static final String VERDICT = "X-Hemlock-Verdict";

	private static final String STEP = "X-Hemlock-Step";

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,128}");

	private static final Pattern STEP_NUMBER = Pattern.compile("[1-9][0-9]{0,8}");

	private final HttpRequest request;

	CallHeaders(HttpRequest request) {
		this.request = request;
	}

	@Nullable String text(String name) {
		Header header = this.request.getFirstHeader(name);
		return (header != null) ? header.getValue() : null;
	}

	ProgramId program(String account) {
		String name = text(PROGRAM);
		if (name == null) {
			throw JsonFields.bad("header " + PROGRAM, "missing",
					"the identifier of a program made with POST /v1/programs");
		}
		return programId("header " + PROGRAM, account, name);
	}

	static ProgramId programId(String field, String account, String name) {
		try {
			return new ProgramId(account, name);
		}
		catch (IllegalArgumentException ex) {
			throw JsonFields.bad(field + ": " + ex.getMessage());
		}
	}

	/**
	 * Returns the request identifier.
	 * @return the idempotency key, or a random identifier when there is none
	 */
	String requestId() {
		String key = text(IDEMPOTENCY_KEY);
		if (key == null) {
			return UUID.randomUUID().toString();
		}
		if (!KEY.matcher(key).matches()) {
			throw JsonFields.bad("header " + IDEMPOTENCY_KEY, key, "1 to 128 visible ASCII characters");
		}
		return key;
	}

	long step() {
		String value = text(STEP);
		if (value == null) {
			return 0;
		}
		if (!STEP_NUMBER.matcher(value).matches()) {
			throw JsonFields.bad("header " + STEP, value, "a whole number from 1 to 999999999");
		}
		return Long.parseLong(value);
	}

	boolean flag(String name) {
		String value = text(name);
		if (value == null || value.equals("false")) {
			return false;
		}
		if (!value.equals("true")) {
			throw JsonFields.bad("header " + name, value, "true or false");
		}
		return true;
	}

	String traceparent() {
		String value = text("traceparent");
		return (value != null) ? value : "";
	}

}

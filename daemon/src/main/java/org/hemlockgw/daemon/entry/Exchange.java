package org.hemlockgw.daemon.entry;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.io.IOCallback;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;

/**
 * One HTTP request and its response.
 */
final class Exchange {

	/** A history of 390,000 tokens is about 2 MB of text. */
	static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	private final ClassicHttpRequest request;

	private final ClassicHttpResponse response;

	private final CallHeaders headers;

	private final Runnable closed;

	private String requestId = "";

	Exchange(ClassicHttpRequest request, ClassicHttpResponse response, Runnable closed) {
		this.request = request;
		this.response = response;
		this.headers = new CallHeaders(request);
		this.closed = closed;
	}

	CallHeaders headers() {
		return this.headers;
	}

	String method() {
		return this.request.getMethod();
	}

	String requestId() {
		return this.requestId;
	}

	void identify(String id) {
		this.requestId = id;
		this.response.setHeader(CallHeaders.REQUEST, id);
	}

	byte[] body() throws IOException {
		HttpEntity entity = this.request.getEntity();
		if (entity == null) {
			return new byte[0];
		}
		try (InputStream in = entity.getContent()) {
			byte[] body = in.readNBytes(MAX_BODY_BYTES + 1);
			if (body.length > MAX_BODY_BYTES) {
				this.response.setHeader(HttpHeaders.CONNECTION, "close");
				throw CallFailure.notRun(ErrorCode.LIMIT_REACHED,
						"body must be at most " + MAX_BODY_BYTES + " bytes long, was longer");
			}
			return body;
		}
	}

	void header(String name, String value) {
		this.response.setHeader(name, value);
	}

	void json(int status, JsonNode body) {
		bytes(status, ContentType.APPLICATION_JSON, body.toString().getBytes(StandardCharsets.UTF_8));
	}

	void bytes(int status, ContentType type, byte[] body) {
		this.response.setCode(status);
		this.response.setEntity(ResponseEntity.ofBytes(type, body, this.closed));
	}

	void events(IOCallback<OutputStream> writer) {
		this.response.setCode(200);
		this.response.setHeader(HttpHeaders.CACHE_CONTROL, "no-store");
		this.response.setEntity(
				ResponseEntity.ofStream(ContentType.TEXT_EVENT_STREAM.withCharset((String) null), writer, this.closed));
	}

	void fail(CallFailure failure) {
		header(CallHeaders.VERDICT, failure.verdict().name());
		if (failure.retryAfter() != null) {
			header(HttpHeaders.RETRY_AFTER, Long.toString((failure.retryAfter().toMillis() + 999) / 1000));
		}
		json(failure.code().httpStatus(), error(failure, this.requestId));
	}

	void ran() {
		header(CallHeaders.VERDICT, Verdict.RAN.name());
	}

	static ObjectNode error(CallFailure failure, String requestId) {
		ObjectNode body = JsonFields.mapper().createObjectNode();
		ObjectNode error = body.putObject("error");
		error.put("code", failure.code().wireName());
		error.put("verdict", failure.verdict().name());
		error.put("message", String.valueOf(failure.getMessage()));
		error.put("request_id", requestId);
		if (failure.retryAfter() != null) {
			error.put("retry_after_ms", failure.retryAfter().toMillis());
		}
		return body;
	}

}

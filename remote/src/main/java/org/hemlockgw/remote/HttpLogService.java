package org.hemlockgw.remote;

import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.core.platform.LogService;

/**
 * Client of the log service over HTTP.
 */
public final class HttpLogService implements LogService {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

	private static final int GONE = 410;

	/** Records may expire between two reads, so the first offset may move once more. */
	private static final int MAX_READS = 3;

	private final HttpCalls http;

	public HttpLogService(String address, Executor executor) {
		this.http = new HttpCalls(address, executor);
	}

	@Override
	public CompletableFuture<Long> append(String stream, byte[] data) {
		return this.http.submit((connections, abort) -> {
			ClassicHttpRequest request = this.http.request("POST", path(stream))
				.setEntity(data, ContentType.APPLICATION_OCTET_STREAM)
				.build();
			JsonNode answer = connections.execute(request, ConnectionUse.REUSED, READ_TIMEOUT, abort,
					HttpCalls::readJson);
			return number(answer, "offset");
		}, HttpLogService::appendFailure);
	}

	@Override
	public CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
		return this.http.submit((connections, abort) -> {
			long position = from;
			for (int reads = 1;; reads++) {
				try {
					return readOnce(connections, abort, stream, position, max, wait);
				}
				catch (StatusException ex) {
					if (ex.status() != GONE || reads == MAX_READS) {
						throw ex;
					}
					position = number(HttpCalls.JSON.readTree(ex.body()), "first");
				}
			}
		}, HttpLogService::readFailure);
	}

	private LogPage readOnce(HttpConnections connections, Abort abort, String stream, long from, int max, Duration wait)
			throws IOException {
		String query = "?from=" + from + "&max=" + max + "&wait_ms=" + wait.toMillis();
		ClassicHttpRequest request = this.http.request("GET", path(stream) + query).build();
		JsonNode page = connections.execute(request, ConnectionUse.REUSED_WITH_RETRY, READ_TIMEOUT.plus(wait), abort,
				HttpCalls::readJson);
		List<LogRecord> records = new ArrayList<>();
		for (JsonNode r : page.path("records")) {
			records.add(new LogRecord(number(r, "offset"), Instant.ofEpochMilli(number(r, "time_ms")),
					r.path("data").binaryValue()));
		}
		return new LogPage(number(page, "first"), number(page, "next"), records);
	}

	private static String path(String stream) {
		return "/streams/" + HttpCalls.segment(stream) + "/records";
	}

	private static long number(JsonNode node, String field) throws IOException {
		JsonNode value = node.path(field);
		if (!value.isIntegralNumber()) {
			throw new IOException("field " + field + " must be a whole number, was " + value);
		}
		return value.longValue();
	}

	private static CallFailure appendFailure(Exception ex) {
		boolean notRun = ex instanceof NotSentException
				|| (ex instanceof StatusException status && (status.status() == 429 || status.status() == 503));
		return notRun ? CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, String.valueOf(ex.getMessage()))
				: CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE, ex.toString());
	}

	private static CallFailure readFailure(Exception ex) {
		return CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, ex.toString());
	}

}

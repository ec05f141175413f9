package org.hemlockgw.remote;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Runs blocking HTTP requests to one server on an executor. Cancelling a future closes
 * the connection of its request.
 */
final class HttpCalls {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final int FIRST_ERROR_STATUS = 400;

	private final String address;

	private final Executor executor;

	private final HttpConnections connections;

	HttpCalls(String address, Executor executor) {
		this.address = address;
		this.executor = executor;
		this.connections = new HttpConnections(address);
	}

	/**
	 * Runs a request.
	 * @param <T> type of the result
	 * @param call the request and the reader of its response
	 * @param failures converts what went wrong
	 * @return the result
	 */
	<T> CompletableFuture<T> submit(Call<T> call, Function<Exception, CallFailure> failures) {
		CompletableFuture<T> future = new CompletableFuture<>();
		Abort abort = new Abort();
		CompletableFuture<T> unused = future.whenComplete((result, thrown) -> {
			if (future.isCancelled()) {
				abort.abort();
			}
		});
		try {
			this.executor.execute(() -> run(call, failures, future, abort));
		}
		catch (RejectedExecutionException ex) {
			future.completeExceptionally(
					failures.apply(new NotSentException("the executor takes no work: " + ex.getMessage(), ex)));
		}
		return future;
	}

	ClassicRequestBuilder request(String method, String path) {
		try {
			return ClassicRequestBuilder.create(method).setUri("http://" + this.address + path);
		}
		catch (IllegalArgumentException ex) {
			throw CallFailure.notRun(ErrorCode.BAD_REQUEST, "path must be a valid URI path, was '" + path + "'");
		}
	}

	ClassicHttpRequest jsonRequest(String method, String path, JsonNode body) {
		return request(method, path)
			.setEntity(body.toString().getBytes(StandardCharsets.UTF_8), ContentType.APPLICATION_JSON)
			.build();
	}

	/**
	 * Encodes one segment of a path.
	 * @param text the segment
	 * @return the percent-encoded segment
	 */
	static String segment(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

	/**
	 * Reads a JSON body.
	 * @param response the response
	 * @return the body
	 * @throws IOException {@link StatusException} for an error status
	 */
	static JsonNode readJson(ClassicHttpResponse response) throws IOException {
		checkStatus(response);
		return JSON.readTree(bytes(response));
	}

	static void checkStatus(ClassicHttpResponse response) throws IOException {
		int status = response.getCode();
		if (status < FIRST_ERROR_STATUS) {
			return;
		}
		Header admitted = response.getFirstHeader("X-Admitted");
		boolean wasAdmitted = admitted == null || !"false".equalsIgnoreCase(admitted.getValue());
		byte[] body = bytes(response);
		throw new StatusException(status, wasAdmitted, retryAfter(response), body,
				"status " + status + ": " + new String(body, StandardCharsets.UTF_8));
	}

	static byte[] bytes(ClassicHttpResponse response) throws IOException {
		HttpEntity entity = response.getEntity();
		// The body is not closed, because that would read the rest of it.
		return (entity != null) ? BodyMemory.SHARED.read(entity.getContent()) : new byte[0];
	}

	private static @Nullable Duration retryAfter(ClassicHttpResponse response) {
		Header header = response.getFirstHeader("Retry-After");
		if (header == null || !header.getValue().matches("\\d{1,6}")) {
			return null;
		}
		return Duration.ofSeconds(Long.parseLong(header.getValue()));
	}

	private <T> void run(Call<T> call, Function<Exception, CallFailure> failures, CompletableFuture<T> future,
			Abort abort) {
		if (future.isDone()) {
			return;
		}
		try {
			future.complete(call.run(this.connections, abort));
		}
		catch (IOException | RuntimeException ex) {
			future.completeExceptionally(failures.apply(ex));
		}
	}

	/**
	 * A blocking request.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	interface Call<T> {

		T run(HttpConnections connections, Abort abort) throws IOException;

	}

}

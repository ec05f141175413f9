package org.hemlockgw.remote;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.platform.PlainServiceClient;
import org.hemlockgw.core.platform.ServiceResponse;

/**
 * Client of a plain service over HTTP. Each call opens a connection of its own, because a
 * reused one that the service has just closed would turn a call that never ran into
 * {@code MAY_HAVE_RUN}.
 */
public final class HttpPlainServiceClient implements PlainServiceClient {

	/**
	 * Statuses of gateways and overloaded servers, which do not tell whether the call
	 * ran.
	 */
	private static final Set<Integer> UNCLEAR_STATUSES = Set.of(429, 502, 503, 504);

	private final HttpCalls http;

	public HttpPlainServiceClient(String address, Executor executor) {
		this.http = new HttpCalls(address, executor);
	}

	@Override
	public CompletableFuture<ServiceResponse> call(String requestId, String path, byte[] body, Duration timeout) {
		long deadlineNs = System.nanoTime() + timeout.toNanos();
		return this.http.submit((connections, abort) -> {
			Duration left = Duration.ofNanos(deadlineNs - System.nanoTime());
			if (left.toMillis() <= 0) {
				throw CallFailure.notRun(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the call was sent");
			}
			ClassicHttpRequest request = this.http.request("POST", "/call/" + path)
				.addHeader("X-Request-Id", requestId)
				.setEntity(body, ContentType.APPLICATION_OCTET_STREAM)
				.build();
			// The read timeout restarts with each byte, so a slow response needs a limit
			// of its own.
			CompletableFuture.delayedExecutor(left.toMillis(), TimeUnit.MILLISECONDS).execute(abort::abort);
			try {
				return connections.execute(request, ConnectionUse.NEW, left, abort, HttpPlainServiceClient::read);
			}
			catch (NotSentException ex) {
				throw ex;
			}
			catch (IOException ex) {
				if (abort.aborted()) {
					throw new SocketTimeoutException("no complete answer in time");
				}
				throw ex;
			}
		}, Failures::of);
	}

	private static ServiceResponse read(ClassicHttpResponse response) throws IOException {
		if (UNCLEAR_STATUSES.contains(response.getCode())) {
			HttpCalls.checkStatus(response);
		}
		return new ServiceResponse(response.getCode(), HttpCalls.bytes(response));
	}

}

package org.hemlockgw.remote.admin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;

/**
 * Calls admin listeners over HTTP. Each call occupies one thread of the executor.
 */
public final class HttpAdminClient implements AdminClient, AutoCloseable {

	private static final Timeout TIMEOUT = Timeout.ofSeconds(2);

	// A document of 2,400 engines with its history stays well below this.
	private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

	private final Executor executor;

	private final HttpRequester requester;

	public HttpAdminClient(Executor executor) {
		this.executor = executor;
		this.requester = RequesterBootstrap.bootstrap()
			.setSocketConfig(SocketConfig.custom().setSoTimeout(TIMEOUT).build())
			.create();
	}

	@Override
	public CompletableFuture<Response> send(String method, String address, String path) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return call(method, host(address), path);
			}
			catch (IOException | HttpException ex) {
				throw CallFailure.mayHaveRun(ErrorCode.BACKEND_UNAVAILABLE,
						method + " " + path + " at " + address + " failed: " + ex);
			}
		}, this.executor);
	}

	private Response call(String method, HttpHost host, String path) throws IOException, HttpException {
		ClassicHttpRequest request = ClassicRequestBuilder.create(method).setHttpHost(host).setPath(path).build();
		return this.requester.execute(host, request, TIMEOUT, HttpCoreContext.create(), (response) -> {
			String body = (response.getEntity() != null)
					? EntityUtils.toString(response.getEntity(), StandardCharsets.UTF_8, MAX_BODY_BYTES) : "";
			return new Response(response.getCode(), body);
		});
	}

	private static HttpHost host(String address) {
		int colon = address.lastIndexOf(':');
		String ip = address.substring(0, colon).replace("[", "").replace("]", "");
		return new HttpHost("http", ip, Integer.parseInt(address.substring(colon + 1)));
	}

	@Override
	public void close() {
		this.requester.close(CloseMode.GRACEFUL);
	}

}

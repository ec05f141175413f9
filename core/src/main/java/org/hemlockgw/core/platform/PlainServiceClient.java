package org.hemlockgw.core.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Client of one plain service. Futures fail with
 * {@link org.hemlockgw.core.common.CallFailure} only: verdict {@code NOT_RUN} if no byte
 * was sent or the service reported that it did not admit the call, otherwise
 * {@code MAY_HAVE_RUN}.
 */
@FunctionalInterface
public interface PlainServiceClient {

	CompletableFuture<ServiceResponse> call(String requestId, String path, byte[] body, Duration timeout);

}

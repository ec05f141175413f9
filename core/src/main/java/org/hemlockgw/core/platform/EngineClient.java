package org.hemlockgw.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Client of one model engine. Futures fail with
 * {@link org.hemlockgw.core.common.CallFailure} only: verdict {@code NOT_RUN} if the
 * engine is known not to have admitted the request, code {@code BACKEND_FAILED} if the
 * connection broke, {@code DEADLINE_EXCEEDED} if no chunk arrived within the idle
 * timeout, and {@code NOT_FOUND} if the engine does not know the stream to resume.
 */
public interface EngineClient {

	/**
	 * Starts a response stream.
	 * @param request the request
	 * @param idleTimeout maximum time between two chunks before the attempt fails
	 * @param sink receives each chunk in order
	 * @return the last chunk
	 */
	CompletableFuture<EngineChunk> generate(EngineRequest request, Duration idleTimeout, Consumer<EngineChunk> sink);

	/**
	 * Resumes a stream on a new connection.
	 * @param requestId request identifier of the stream
	 * @param offset token offset at which to resume
	 * @param idleTimeout maximum time between two chunks before the attempt fails
	 * @param sink receives each chunk in order
	 * @return the last chunk
	 */
	CompletableFuture<EngineChunk> resume(String requestId, long offset, Duration idleTimeout,
			Consumer<EngineChunk> sink);

	CompletableFuture<Void> cancel(String requestId);

	CompletableFuture<Void> releaseSession(String session, long fencing);

	CompletableFuture<Long> exportSession(String session);

	CompletableFuture<Void> importSession(String session, long tokens);

	CompletableFuture<List<String>> listSessions();

	CompletableFuture<CacheEvents> fetchCacheEvents(long from);

	CompletableFuture<EngineLoadReport> fetchLoad();

	CompletableFuture<Void> sendOrder(String kind, String argument, long fencing);

}

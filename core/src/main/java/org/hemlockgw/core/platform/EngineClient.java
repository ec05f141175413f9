package org.hemlockgw.core.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Client of one model engine. Futures fail with
 * {@link org.hemlockgw.core.common.CallFailure} only: {@code NOT_RUN} when the engine
 * provably did not admit the request, {@code BACKEND_FAILED} when the connection broke,
 * {@code DEADLINE_EXCEEDED} when no event arrived within the idle limit,
 * {@code NOT_FOUND} when a stream to resume is unknown to the engine.
 */
public interface EngineClient {

	/**
	 * Starts a stream.
	 * @param request the request
	 * @param idle longest silence between two events before the attempt fails
	 * @param events receives each event in order
	 * @return the last event
	 */
	CompletableFuture<EngineChunk> generate(EngineRequest request, Duration idle, Consumer<EngineChunk> events);

	/**
	 * Resumes a stream on a new connection.
	 * @param requestId the stream
	 * @param offset first token offset wanted
	 * @param idle longest silence between two events before the attempt fails
	 * @param events receives each event in order
	 * @return the last event
	 */
	CompletableFuture<EngineChunk> resume(String requestId, long offset, Duration idle, Consumer<EngineChunk> events);

	CompletableFuture<Void> cancel(String requestId);

	CompletableFuture<Void> releaseSession(String session, long fencing);

	CompletableFuture<Long> exportSession(String session);

	CompletableFuture<Void> importSession(String session, long tokens);

	CompletableFuture<List<String>> listSessions();

	CompletableFuture<CacheEvents> fetchCacheEvents(long from);

	CompletableFuture<EngineLoadReport> fetchLoad();

	CompletableFuture<Void> sendOrder(String kind, String argument, long fencing);

}

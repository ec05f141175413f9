package org.hemlockgw.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.platform.CacheEvents;
import org.hemlockgw.core.platform.EngineChunk;
import org.hemlockgw.core.platform.EngineClient;
import org.hemlockgw.core.platform.EngineLoadReport;
import org.hemlockgw.core.platform.EngineRequest;

/**
 * An engine whose streams are driven by the test.
 */
final class FakeEngine implements EngineClient {

	final List<Stream> started = new ArrayList<>();

	final List<Long> resumedFrom = new ArrayList<>();

	final Deque<CallFailure> resumeFailures = new ArrayDeque<>();

	final Set<String> sessions = ConcurrentHashMap.newKeySet();

	int lostReleases;

	@Override
	public synchronized CompletableFuture<EngineChunk> generate(EngineRequest request, Duration idle,
			Consumer<EngineChunk> events) {
		Stream stream = new Stream(request, events, new CompletableFuture<>());
		this.started.add(stream);
		this.sessions.add(request.session());
		return stream.end;
	}

	@Override
	public synchronized CompletableFuture<EngineChunk> resume(String requestId, long offset, Duration idle,
			Consumer<EngineChunk> events) {
		this.resumedFrom.add(offset);
		if (!this.resumeFailures.isEmpty()) {
			return CompletableFuture.failedFuture(this.resumeFailures.removeFirst());
		}
		Stream stream = new Stream(this.started.get(0).request, events, new CompletableFuture<>());
		this.started.add(stream);
		return stream.end;
	}

	@Override
	public CompletableFuture<Void> cancel(String requestId) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public synchronized CompletableFuture<Void> releaseSession(String session, long fencing) {
		if (this.lostReleases > 0) {
			this.lostReleases--;
			return CompletableFuture.completedFuture(null);
		}
		this.sessions.remove(session);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Long> exportSession(String session) {
		return unsupported();
	}

	@Override
	public CompletableFuture<Void> importSession(String session, long tokens) {
		return unsupported();
	}

	@Override
	public CompletableFuture<List<String>> listSessions() {
		return CompletableFuture.completedFuture(List.copyOf(this.sessions));
	}

	@Override
	public CompletableFuture<CacheEvents> fetchCacheEvents(long from) {
		return unsupported();
	}

	@Override
	public CompletableFuture<EngineLoadReport> fetchLoad() {
		return unsupported();
	}

	@Override
	public CompletableFuture<Void> sendOrder(String kind, String argument, long fencing) {
		return unsupported();
	}

	private static <T> CompletableFuture<T> unsupported() {
		return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.NOT_FOUND, "not part of this fake"));
	}

	record Stream(EngineRequest request, Consumer<EngineChunk> events, CompletableFuture<EngineChunk> end) {

		void tokens(long from, long to) {
			for (long i = from; i < to; i++) {
				this.events.accept(new EngineChunk(i, 1, "t" + i + " ", null, null));
			}
		}

	}

}

package org.hemlockgw.daemon.owner;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.platform.PlainServiceClient;
import org.hemlockgw.core.platform.ServiceResponse;

/**
 * Plain service that counts executions and fails as planned.
 */
final class FakeService implements PlainServiceClient {

	final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

	final Map<String, AtomicInteger> calls = new ConcurrentHashMap<>();

	private final Executor executor;

	/** Fate of the n-th call of a request, from 0. */
	volatile IntFunction<Fate> fates = (n) -> Fate.OK;

	FakeService(Executor executor) {
		this.executor = executor;
	}

	@Override
	public CompletableFuture<ServiceResponse> call(String requestId, String path, byte[] body, Duration timeout) {
		int n = this.calls.computeIfAbsent(requestId, (id) -> new AtomicInteger()).getAndIncrement();
		CompletableFuture<ServiceResponse> done = new CompletableFuture<>();
		Fate fate = this.fates.apply(n);
		this.executor.execute(() -> run(requestId, body, fate, done));
		return done;
	}

	private void run(String requestId, byte[] body, Fate fate, CompletableFuture<ServiceResponse> done) {
		if (fate.executes) {
			this.executions.computeIfAbsent(requestId, (id) -> new AtomicInteger()).incrementAndGet();
		}
		if (fate == Fate.HANG) {
			return;
		}
		if (fate == Fate.OK) {
			String answer = new String(body, StandardCharsets.UTF_8) + " done";
			done.complete(new ServiceResponse(200, answer.getBytes(StandardCharsets.UTF_8)));
			return;
		}
		done.completeExceptionally(new CallFailure(ErrorCode.BACKEND_FAILED, fate.verdict, fate.name()));
	}

	int executions(String requestId) {
		AtomicInteger count = this.executions.get(requestId);
		return (count != null) ? count.get() : 0;
	}

	enum Fate {

		OK(true, Verdict.RAN), REFUSED(false, Verdict.NOT_RUN), LOST_BEFORE(false, Verdict.MAY_HAVE_RUN),
		LOST_AFTER(true, Verdict.MAY_HAVE_RUN), HANG(true, Verdict.MAY_HAVE_RUN);

		private final boolean executes;

		private final Verdict verdict;

		Fate(boolean executes, Verdict verdict) {
			this.executes = executes;
			this.verdict = verdict;
		}

	}

}

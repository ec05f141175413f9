package org.hemlockgw.daemon.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ImmutableMaps;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.membership.BackendAvailability;
import org.hemlockgw.core.platform.EngineChunk;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.core.schedule.EngineSpeed;
import org.hemlockgw.core.schedule.FairQueue;
import org.hemlockgw.core.schedule.InFlightLimit;
import org.hemlockgw.core.schedule.QueuedRequest;

/**
 * The queue and the in-flight requests of one engine.
 */
final class EngineLane {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Silence allowed on a stream in addition to the expected prefill. */
	private static final Duration STREAM_IDLE = Duration.ofSeconds(3);

	/** Learned prefill speeds can be off by this factor when the batch is full. */
	private static final double PREFILL_MARGIN = 4;

	private static final Duration DOWN_FOR = Duration.ofSeconds(1);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final int EXPECTED_ANSWER_TOKENS = 128;

	private final String engine;

	private final DispatcherContext context;

	private final FairQueue<Attempt> queue;

	private final Map<String, Attempt> inFlight = new HashMap<>();

	private final Map<String, Instant> lastUse = new HashMap<>();

	private EngineSpeed speed = EngineSpeed.INITIAL;

	private InFlightLimit limit;

	private Instant downUntil = Instant.EPOCH;

	EngineLane(BackendServer server, DispatcherContext context) {
		this.engine = server.name();
		this.context = context;
		this.limit = InFlightLimit.initial(Math.max(1, server.maxInFlight()));
		this.queue = new FairQueue<>(this::weight);
	}

	CompletableFuture<DispatchResult> submit(DispatchRequest request, EventSink sink) {
		Configuration configuration = this.context.blackboard().configuration().get();
		Attempt attempt = new Attempt(request, sink, this.context.clock());
		CallFailure refusal = enqueue(attempt, configuration);
		if (refusal != null) {
			return CompletableFuture.failedFuture(refusal);
		}
		long delay = Math.max(0, Duration.between(this.context.clock().instant(), request.deadline()).toMillis());
		this.context.scheduler().schedule(() -> expire(attempt), delay, TimeUnit.MILLISECONDS);
		pump();
		return attempt.result();
	}

	private synchronized @Nullable CallFailure enqueue(Attempt attempt, Configuration configuration) {
		BackendServer server = configuration.backendServers().get(this.engine);
		if (server == null || !BackendAvailability.acceptsWork(server, this.context.blackboard().vms().get())) {
			return CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, this.engine + " takes no new work");
		}
		if (isDown()) {
			return CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, this.engine + " refuses connections");
		}
		if (this.queue.size() >= configuration.limits().maxQueuedPerEngine()) {
			return new CallFailure(ErrorCode.OVERLOADED, Verdict.NOT_RUN, "queue of " + this.engine + " is full",
					RETRY_AFTER);
		}
		this.limit = this.limit.withMax(Math.max(1, server.maxInFlight()));
		DispatchRequest request = attempt.request();
		long work = Math.max(1, request.estimatedPromptTokens() - request.estimatedCachedTokens())
				+ Math.min(request.maxTokens(), EXPECTED_ANSWER_TOKENS);
		this.queue.add(new QueuedRequest<>(request.program().account(), request.attainedTokens(), work,
				this.context.clock().instant(), request.suspect(), attempt));
		return null;
	}

	private void pump() {
		while (true) {
			Attempt attempt = next();
			if (attempt == null) {
				return;
			}
			start(attempt);
		}
	}

	private synchronized @Nullable Attempt next() {
		if (this.inFlight.size() >= this.limit.limit()) {
			return null;
		}
		// Two suspects at once on an engine would not show which of them crashed it.
		boolean suspectRunning = this.inFlight.values().stream().anyMatch((running) -> running.request().suspect());
		QueuedRequest<Attempt> queued = this.queue.poll((candidate) -> !(candidate.suspect() && suspectRunning));
		if (queued == null) {
			return null;
		}
		Attempt attempt = queued.payload();
		this.inFlight.put(attempt.request().attemptId(), attempt);
		this.lastUse.put(attempt.request().program().sessionName(), this.context.clock().instant());
		Duration waited = Duration.between(queued.enqueuedAt(), this.context.clock().instant());
		this.context.metrics().timer("dispatcher.queue").update(waited);
		note(attempt.request(), "sent",
				"waited " + waited.toMillis() + " ms, " + this.inFlight.size() + " in flight on " + this.engine);
		return attempt;
	}

	private void start(Attempt attempt) {
		DispatchRequest request = attempt.request();
		BackendServer server = this.context.blackboard().configuration().get().backendServers().get(this.engine);
		if (server == null) {
			finish(attempt, null, CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, this.engine + " was removed"));
			return;
		}
		Span span = this.context.tracing().start("backend", request.traceparent());
		span.setAttribute("backend_server", this.engine);
		attempt.run(this.context.clients().apply(server), idleLimit(request), span).whenComplete((last, thrown) -> {
			span.end();
			finish(attempt, last, (thrown != null) ? CallFailure.of(thrown) : null);
		});
	}

	private synchronized Duration idleLimit(DispatchRequest request) {
		long uncached = Math.max(0, request.estimatedPromptTokens() - request.estimatedCachedTokens());
		double seconds = PREFILL_MARGIN * uncached / Math.max(1, this.speed.prefillTokensPerSecond());
		return STREAM_IDLE.plusMillis((long) (seconds * 1000));
	}

	private void finish(Attempt attempt, @Nullable EngineChunk last, @Nullable CallFailure failure) {
		EngineLoad load = settle(attempt, last, failure);
		this.context.blackboard().engineLoads().update((loads) -> withLoad(loads, load));
		if (failure != null) {
			note(attempt.request(), "failed", failure.code().wireName() + ": " + failure.getMessage());
			attempt.result().completeExceptionally(failure);
		}
		else if (last != null) {
			Usage usage = (last.usage() != null) ? last.usage() : Usage.NONE;
			String reason = (last.finishReason() != null) ? last.finishReason() : "stop";
			attempt.result().complete(new DispatchResult(attempt.text(), usage, reason, load));
		}
		pump();
	}

	private synchronized EngineLoad settle(Attempt attempt, @Nullable EngineChunk last, @Nullable CallFailure failure) {
		int wasInFlight = this.inFlight.size();
		this.inFlight.remove(attempt.request().attemptId());
		if (failure != null && (failure.code() == ErrorCode.BACKEND_FAILED
				|| failure.verdict() == Verdict.NOT_RUN && failure.code() == ErrorCode.BACKEND_UNAVAILABLE)) {
			markDown(failure);
		}
		if (last != null && last.usage() != null) {
			learn(attempt, last.usage(), wasInFlight);
		}
		return load();
	}

	private void learn(Attempt attempt, Usage usage, int wasInFlight) {
		long generated = Math.max(0, attempt.deliveredTokens() - 1);
		Duration decoding = attempt.sinceFirstToken();
		long uncached = Math.max(0, usage.promptTokens() - usage.cachedTokens());
		this.speed = this.speed.observe(uncached, attempt.toFirstToken(), generated, decoding, wasInFlight);
		if (generated > 0) {
			this.limit = this.limit.observe(decoding.dividedBy(generated), wasInFlight);
		}
		this.context.metrics().timer("dispatcher.first_token").update(attempt.toFirstToken());
	}

	private void markDown(CallFailure failure) {
		this.downUntil = this.context.clock().instant().plus(DOWN_FOR);
		logger.atWarning().log("engine %s is unreachable: %s", this.engine, failure.getMessage());
		List<QueuedRequest<Attempt>> queued = this.queue.removeIf((request) -> true);
		queued.forEach((request) -> refuse(request.payload(), this.engine + " became unreachable"));
	}

	private void refuse(Attempt attempt, String message) {
		CallFailure failure = CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, message);
		this.context.executor().execute(() -> attempt.result().completeExceptionally(failure));
	}

	/**
	 * Hands queued requests back when the engine takes no new work.
	 */
	synchronized void handBack() {
		List<QueuedRequest<Attempt>> queued = this.queue.removeIf((request) -> true);
		queued.forEach((request) -> refuse(request.payload(), this.engine + " is leaving"));
	}

	void cancel(String attemptId) {
		CallFailure failure = CallFailure.mayHaveRun(ErrorCode.CANCELLED, "cancelled");
		List<QueuedRequest<Attempt>> queued = removeQueued(attemptId);
		queued.forEach((request) -> request.payload()
			.result()
			.completeExceptionally(CallFailure.notRun(ErrorCode.CANCELLED, "cancelled in the queue")));
		Attempt running = running(attemptId);
		if (running != null) {
			cancelOnEngine(running, failure);
		}
	}

	private void expire(Attempt attempt) {
		if (attempt.result().isDone()) {
			return;
		}
		String id = attempt.request().attemptId();
		if (!removeQueued(id).isEmpty()) {
			attempt.result()
				.completeExceptionally(
						CallFailure.notRun(ErrorCode.DEADLINE_EXCEEDED, "deadline passed in the queue of the engine"));
			return;
		}
		cancelOnEngine(attempt,
				CallFailure.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED, "deadline passed on " + this.engine));
	}

	private void cancelOnEngine(Attempt attempt, CallFailure failure) {
		attempt.result().completeExceptionally(failure);
		BackendServer server = this.context.blackboard().configuration().get().backendServers().get(this.engine);
		if (server != null) {
			this.context.clients().apply(server).cancel(attempt.request().attemptId());
		}
	}

	private synchronized List<QueuedRequest<Attempt>> removeQueued(String attemptId) {
		return new ArrayList<>(
				this.queue.removeIf((request) -> request.payload().request().attemptId().equals(attemptId)));
	}

	private synchronized @Nullable Attempt running(String attemptId) {
		return this.inFlight.get(attemptId);
	}

	synchronized EngineLoad load() {
		int usable = isDown() ? 0 : this.limit.limit();
		return new EngineLoad(this.engine, this.queue.size(), this.inFlight.size(), usable, this.queue.tokens(),
				this.speed.prefillTokensPerSecond(), this.speed.decodeTokensPerSecond(),
				this.context.clock().instant());
	}

	/**
	 * Returns whether a session was used on this engine lately.
	 * @param session cache session
	 * @param within how long ago at most
	 * @return whether it was
	 */
	synchronized boolean usedWithin(String session, Duration within) {
		Instant since = this.context.clock().instant().minus(within);
		this.lastUse.values().removeIf((used) -> used.isBefore(since.minus(within)));
		Instant used = this.lastUse.get(session);
		return used != null && used.isAfter(since);
	}

	synchronized boolean isIdle() {
		return this.inFlight.isEmpty() && this.queue.size() == 0;
	}

	private boolean isDown() {
		return this.context.clock().instant().isBefore(this.downUntil);
	}

	private double weight(String account) {
		ClientAccount known = this.context.blackboard().configuration().get().clientAccounts().get(account);
		return (known != null) ? known.weight() : 1;
	}

	private void note(DispatchRequest request, String event, String reason) {
		this.context.journal().record(request.program(), request.attemptId(), "dispatcher", event, reason);
	}

	static Map<String, EngineLoad> withLoad(Map<String, EngineLoad> loads, EngineLoad load) {
		Map<String, EngineLoad> next = new HashMap<>(loads);
		next.put(load.engine(), load);
		return ImmutableMaps.copyOf(next);
	}

}

package org.hemlockgw.daemon.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.platform.EngineChunk;
import org.hemlockgw.core.platform.EngineClient;
import org.hemlockgw.core.platform.EngineRequest;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * One attempt of a model turn on an engine. A broken or silent stream is resumed from its
 * token offset on a new connection, so that no token is lost or delivered twice.
 */
final class Attempt {

	private static final int MAX_RESUMES = 3;

	/**
	 * Without a delay all resumes fell into the time in which a crashed engine restarts.
	 */
	private static final long RESUME_DELAY_MS = 400;

	private final DispatchRequest request;

	private final EventSink sink;

	private final InstantSource clock;

	private final CompletableFuture<DispatchResult> result = new CompletableFuture<>();

	private final StringBuilder text = new StringBuilder();

	private long nextOffset;

	private Instant sentAt = Instant.EPOCH;

	private @Nullable Instant firstTokenAt;

	Attempt(DispatchRequest request, EventSink sink, InstantSource clock) {
		this.request = request;
		this.sink = sink;
		this.clock = clock;
		this.nextOffset = request.firstOffset();
	}

	/**
	 * Sends the request and follows its stream to the end.
	 * @param client the engine
	 * @param idle longest silence between two events
	 * @param span span of the engine call
	 * @return the last event, or a failure with an exact verdict
	 */
	CompletableFuture<EngineChunk> run(EngineClient client, Duration idle, Span span) {
		this.sentAt = this.clock.instant();
		EngineRequest sent = new EngineRequest(this.request.attemptId(), this.request.program().sessionName(),
				this.request.model(), this.request.messages(), this.request.partialAnswer(), this.request.firstOffset(),
				this.request.maxTokens(), Tracing.traceparent(span));
		return client.generate(sent, idle, this::deliver)
			.exceptionallyCompose((thrown) -> recover(client, idle, CallFailure.of(thrown), MAX_RESUMES, span));
	}

	private CompletableFuture<EngineChunk> recover(EngineClient client, Duration idle, CallFailure failure, int resumes,
			Span span) {
		if (failure.verdict() == Verdict.NOT_RUN) {
			return CompletableFuture.failedFuture(CallFailure.notRun(
					(failure.code() == ErrorCode.OVERLOADED) ? ErrorCode.OVERLOADED : ErrorCode.BACKEND_UNAVAILABLE,
					failure.getMessage()));
		}
		if (this.result.isDone() || resumes == 0) {
			return CompletableFuture.failedFuture(lost(failure));
		}
		return pause(resumes).thenCompose((done) -> {
			span.addEvent("resume");
			return client.resume(this.request.attemptId(), this.nextOffset, idle, this::deliver);
		}).exceptionallyCompose((thrown) -> {
			CallFailure next = CallFailure.of(thrown);
			if (next.code() == ErrorCode.NOT_FOUND || next.verdict() == Verdict.NOT_RUN) {
				return CompletableFuture.failedFuture(CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED,
						"engine lost the stream: " + failure.getMessage()));
			}
			return recover(client, idle, next, resumes - 1, span);
		});
	}

	private CompletableFuture<Void> pause(int resumes) {
		if (resumes == MAX_RESUMES) {
			return CompletableFuture.completedFuture(null);
		}
		Executor later = CompletableFuture.delayedExecutor(RESUME_DELAY_MS, TimeUnit.MILLISECONDS, Runnable::run);
		return CompletableFuture.runAsync(() -> {
		}, later);
	}

	// A connection that breaks again and again means that the engine died behind a
	// network
	// device that still accepts connections. Silence alone proves no death.
	private static CallFailure lost(CallFailure failure) {
		ErrorCode code = (failure.code() == ErrorCode.BACKEND_FAILED) ? ErrorCode.BACKEND_FAILED
				: ErrorCode.BACKEND_UNAVAILABLE;
		return CallFailure.mayHaveRun(code,
				"stream could not be resumed in " + MAX_RESUMES + " tries: " + failure.getMessage());
	}

	private synchronized void deliver(EngineChunk chunk) {
		if (this.result.isDone() || chunk.tokens() == 0 || chunk.offset() + chunk.tokens() <= this.nextOffset) {
			return;
		}
		if (chunk.offset() != this.nextOffset) {
			throw CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED,
					"engine sent token " + chunk.offset() + " instead of " + this.nextOffset);
		}
		if (chunk.offset() + chunk.tokens() > this.request.maxTokens()) {
			// The engine has not died, so this must not count against the content.
			throw CallFailure.mayHaveRun(ErrorCode.BACKEND_UNAVAILABLE,
					"engine sent more than " + this.request.maxTokens() + " tokens");
		}
		if (this.firstTokenAt == null) {
			this.firstTokenAt = this.clock.instant();
		}
		this.nextOffset += chunk.tokens();
		this.text.append(chunk.text());
		this.sink.accept(new CallEvent(chunk.offset(), chunk.tokens(), chunk.text()));
	}

	DispatchRequest request() {
		return this.request;
	}

	CompletableFuture<DispatchResult> result() {
		return this.result;
	}

	synchronized String text() {
		return this.text.toString();
	}

	/**
	 * Returns the time from sending to the first token.
	 * @return zero when no token came
	 */
	synchronized Duration toFirstToken() {
		return (this.firstTokenAt != null) ? Duration.between(this.sentAt, this.firstTokenAt) : Duration.ZERO;
	}

	/**
	 * Returns the time since the first token.
	 * @return zero when no token came
	 */
	synchronized Duration sinceFirstToken() {
		return (this.firstTokenAt != null) ? Duration.between(this.firstTokenAt, this.clock.instant()) : Duration.ZERO;
	}

	synchronized long deliveredTokens() {
		return this.nextOffset - this.request.firstOffset();
	}

}

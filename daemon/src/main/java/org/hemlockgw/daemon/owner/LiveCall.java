package org.hemlockgw.daemon.owner;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;

/**
 * A call that waits for its turn, runs, or waits for its record to be durable. Mutable
 * fields are guarded by the lock of the shard.
 */
final class LiveCall {

	private final CallRequest request;

	private final String digest;

	private final Span span;

	private final AnswerStream answer = new AnswerStream();

	private final CompletableFuture<CallResult> done = new CompletableFuture<>();

	private final AtomicReference<@Nullable LiveCall> handle = new AtomicReference<>(this);

	private Phase phase = Phase.WAITING;

	private boolean mayHaveRun;

	private Instant deadline;

	private Instant latest = Instant.MAX;

	private boolean finished;

	private @Nullable Runnable onCancel;

	LiveCall(CallRequest request, String digest, Span span) {
		this.request = request;
		this.digest = digest;
		this.span = span;
		this.deadline = request.deadline();
	}

	CallRequest request() {
		return this.request;
	}

	String digest() {
		return this.digest;
	}

	Span span() {
		return this.span;
	}

	AnswerStream answer() {
		return this.answer;
	}

	CompletableFuture<CallResult> done() {
		return this.done;
	}

	// Attaches a caller that repeats the request.
	CompletableFuture<CallResult> attach(EventSink sink, Instant until) {
		if (until.isAfter(this.deadline)) {
			this.deadline = until.isBefore(this.latest) ? until : this.latest;
		}
		this.answer.attach(sink);
		return this.done.copy();
	}

	Phase phase() {
		return this.phase;
	}

	void phase(Phase next) {
		this.phase = next;
		if (next == Phase.DONE) {
			this.handle.set(null);
		}
	}

	Instant deadline() {
		return this.deadline;
	}

	void limitDeadline(Instant limit) {
		this.latest = limit;
		if (limit.isBefore(this.deadline)) {
			this.deadline = limit;
		}
	}

	// For timers, which outlive the call and must not keep its messages in memory.
	AtomicReference<@Nullable LiveCall> handle() {
		return this.handle;
	}

	// Whether a finished attempt may have had an effect.
	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void setMayHaveRun() {
		this.mayHaveRun = true;
	}

	// Whether the answer is complete and only waits for its record.
	boolean finished() {
		return this.finished;
	}

	void setFinished() {
		this.finished = true;
	}

	void onCancel(Runnable action) {
		this.onCancel = action;
	}

	void cancelAttempt() {
		if (this.onCancel != null) {
			this.onCancel.run();
		}
	}

	/**
	 * Progress of a call.
	 */
	enum Phase {

		/** Waits for its predecessor. */
		WAITING,

		/** Admitted; no attempt is under way. */
		ADMITTED,

		/** An attempt is under way. */
		SENT,

		/** Ended; nothing may be sent any more. */
		DONE

	}

}

package org.hemlockgw.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.generated.peer.Request;
import org.hemlockgw.generated.peer.Response;

/**
 * A request that waits for its answer. Events and end are delivered in order on the
 * executor, so that a slow sink never holds up the event loop.
 */
final class PendingRequest {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Events that the sink has not taken yet; more fail the request. */
	static final int MAX_UNREAD_EVENTS = 4096;

	private final Request request;

	private final ErrorCode unavailable;

	private final EventSink sink;

	private final Executor executor;

	private final CompletableFuture<Response> result = new CompletableFuture<>();

	private final Deque<Runnable> deliveries = new ArrayDeque<>();

	private boolean delivering;

	private boolean ended;

	PendingRequest(Request request, ErrorCode unavailable, EventSink sink, Executor executor) {
		this.request = request;
		this.unavailable = unavailable;
		this.sink = sink;
		this.executor = executor;
	}

	Request request() {
		return this.request;
	}

	CompletableFuture<Response> result() {
		return this.result;
	}

	/**
	 * Queues an event.
	 * @param event the event
	 * @return false when too many events are unread; the request has then failed
	 */
	synchronized boolean event(CallEvent event) {
		if (this.ended) {
			return true;
		}
		if (this.deliveries.size() >= MAX_UNREAD_EVENTS) {
			this.deliveries.clear();
			end(() -> this.result.completeExceptionally(
					CallFailure.mayHaveRun(ErrorCode.OVERLOADED, "more than " + MAX_UNREAD_EVENTS + " unread events")));
			return false;
		}
		enqueue(() -> this.sink.accept(event));
		return true;
	}

	synchronized void succeed(Response response) {
		end(() -> this.result.complete(response));
	}

	synchronized void fail(CallFailure failure) {
		end(() -> this.result.completeExceptionally(failure));
	}

	/**
	 * Fails the request because its connection is gone.
	 * @param written whether the request's frame was passed to a socket
	 * @param cause what happened to the connection
	 */
	void disconnected(boolean written, String cause) {
		fail(written ? CallFailure.mayHaveRun(this.unavailable, cause) : CallFailure.notRun(this.unavailable, cause));
	}

	private synchronized void end(Runnable delivery) {
		if (!this.ended) {
			this.ended = true;
			enqueue(delivery);
		}
	}

	private synchronized void enqueue(Runnable delivery) {
		this.deliveries.add(delivery);
		if (this.delivering) {
			return;
		}
		this.delivering = true;
		try {
			this.executor.execute(this::deliver);
		}
		catch (RejectedExecutionException ex) {
			this.ended = true;
			this.result.completeExceptionally(
					CallFailure.mayHaveRun(ErrorCode.SHUTTING_DOWN, "daemon stopped before the answer arrived"));
		}
	}

	private void deliver() {
		while (true) {
			Runnable next;
			synchronized (this) {
				next = this.deliveries.poll();
				if (next == null) {
					this.delivering = false;
					return;
				}
			}
			try {
				next.run();
			}
			catch (RuntimeException ex) {
				logger.atWarning().withCause(ex).log("a receiver of events failed");
			}
		}
	}

}

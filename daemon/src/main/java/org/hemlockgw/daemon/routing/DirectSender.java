package org.hemlockgw.daemon.routing;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.program.EventSink;

/**
 * Sends to engines whose dispatcher is unreachable. Many daemons may do so at once
 * without knowing of each other, so each keeps to a few requests for an engine; the rest
 * wait until a slot is free or the engine has a dispatcher again.
 */
final class DirectSender {

	/** Most requests in flight on one engine. */
	static final int MAX_IN_FLIGHT = 4;

	/** Most requests that wait for one engine. */
	static final int MAX_WAITING = 256;

	private final Dispatcher local;

	private final InstantSource clock;

	private final Map<String, Lane> lanes = new ConcurrentHashMap<>();

	DirectSender(Dispatcher local, InstantSource clock) {
		this.local = local;
		this.clock = clock;
	}

	CompletableFuture<DispatchResult> send(DispatchRequest request, EventSink sink) {
		Waiting waiting = new Waiting(request, sink, new CompletableFuture<>());
		Lane lane = this.lanes.computeIfAbsent(request.engine(), (engine) -> new Lane());
		if (!lane.admit(waiting)) {
			return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE,
					MAX_WAITING + " requests wait for " + request.engine() + ", whose dispatcher is unreachable"));
		}
		lane.run();
		return waiting.result();
	}

	void cancel(String engine, String attemptId) {
		Lane lane = this.lanes.get(engine);
		Waiting removed = (lane != null) ? lane.remove(attemptId) : null;
		if (removed != null) {
			removed.result()
				.completeExceptionally(CallFailure.notRun(ErrorCode.CANCELLED, "cancelled before it was sent"));
		}
	}

	/**
	 * Takes back the requests that wait for an engine.
	 * @param engine name of the backend server
	 * @return the requests, oldest first
	 */
	List<Waiting> takeWaiting(String engine) {
		Lane lane = this.lanes.get(engine);
		return (lane != null) ? lane.takeAll() : List.of();
	}

	List<String> engines() {
		return List.copyOf(this.lanes.keySet());
	}

	/**
	 * A request and the future of its result.
	 *
	 * @param request the request
	 * @param sink receives its events
	 * @param result its result
	 */
	record Waiting(DispatchRequest request, EventSink sink, CompletableFuture<DispatchResult> result) {

		void follow(CompletableFuture<DispatchResult> attempt) {
			attempt.whenComplete((value, thrown) -> {
				if (thrown != null) {
					this.result.completeExceptionally(CallFailure.of(thrown));
					return;
				}
				this.result.complete(value);
			});
		}

	}

	/**
	 * Slots and waiting requests of one engine.
	 */
	private final class Lane {

		private final Deque<Waiting> waiting = new ArrayDeque<>();

		private int inFlight;

		synchronized boolean admit(Waiting entry) {
			return this.waiting.size() < MAX_WAITING && this.waiting.add(entry);
		}

		synchronized @Nullable Waiting remove(String attemptId) {
			for (Waiting entry : this.waiting) {
				if (entry.request().attemptId().equals(attemptId)) {
					this.waiting.remove(entry);
					return entry;
				}
			}
			return null;
		}

		synchronized List<Waiting> takeAll() {
			List<Waiting> all = new ArrayList<>(this.waiting);
			this.waiting.clear();
			return all;
		}

		private synchronized @Nullable Waiting next() {
			if (this.inFlight >= MAX_IN_FLIGHT) {
				return null;
			}
			Waiting entry = this.waiting.poll();
			if (entry != null) {
				this.inFlight++;
			}
			return entry;
		}

		private synchronized void ended() {
			this.inFlight--;
		}

		void run() {
			Waiting entry = next();
			while (entry != null) {
				start(entry);
				entry = next();
			}
		}

		private void start(Waiting entry) {
			if (!DirectSender.this.clock.instant().isBefore(entry.request().deadline())) {
				ended();
				entry.result()
					.completeExceptionally(CallFailure.notRun(ErrorCode.DEADLINE_EXCEEDED,
							"deadline passed while waiting for " + entry.request().engine()));
				return;
			}
			CompletableFuture<DispatchResult> attempt = DirectSender.this.local.dispatch(entry.request(), entry.sink());
			entry.follow(attempt);
			attempt.whenComplete((value, thrown) -> {
				ended();
				run();
			});
		}

	}

}

package org.hemlockgw.daemon.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.Usage;

/**
 * Engines with a deterministic answer: token i depends on the prompt and on i only.
 */
final class FakeDispatcher implements Dispatcher {

	final List<DispatchRequest> requests = Collections.synchronizedList(new ArrayList<>());

	final List<String> released = Collections.synchronizedList(new ArrayList<>());

	final Map<ProgramId, Integer> maxInFlight = new ConcurrentHashMap<>();

	final Map<ProgramId, AtomicLong> tokensUsed = new ConcurrentHashMap<>();

	private final Map<ProgramId, AtomicInteger> inFlight = new ConcurrentHashMap<>();

	private final Map<String, CompletableFuture<DispatchResult>> hanging = new ConcurrentHashMap<>();

	private final Executor executor;

	/** Plan of an attempt; the default is an answer without a fault. */
	volatile Function<DispatchRequest, Plan> plans = (request) -> Plan.OK;

	FakeDispatcher(Executor executor) {
		this.executor = executor;
	}

	@Override
	public CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink) {
		this.requests.add(request);
		CompletableFuture<DispatchResult> done = new CompletableFuture<>();
		this.executor.execute(() -> run(request, sink, done));
		return done;
	}

	private void run(DispatchRequest request, EventSink sink, CompletableFuture<DispatchResult> done) {
		Plan plan = this.plans.apply(request);
		if (plan.refusal() != null) {
			done.completeExceptionally(plan.refusal());
			return;
		}
		AtomicInteger now = this.inFlight.computeIfAbsent(request.program(), (id) -> new AtomicInteger());
		this.maxInFlight.merge(request.program(), now.incrementAndGet(), Math::max);
		StringBuilder text = new StringBuilder();
		List<CallEvent> events = new ArrayList<>();
		long end = (plan.dieAfter() >= 0) ? request.firstOffset() + plan.dieAfter() : request.maxTokens();
		for (long i = request.firstOffset(); i < Math.min(end, request.maxTokens()); i++) {
			String token = token(request.messages(), i);
			text.append(token);
			events.add(new CallEvent(i, 1, token));
		}
		long prompt = promptTokens(request.messages()) + request.firstOffset();
		this.tokensUsed.computeIfAbsent(request.program(), (id) -> new AtomicLong()).addAndGet(prompt + events.size());
		plan.mangle(events).forEach(sink::accept);
		now.decrementAndGet();
		if (plan.hang()) {
			this.hanging.put(request.attemptId(), done);
			return;
		}
		if (plan.dieAfter() >= 0) {
			done.completeExceptionally(CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED, "engine died"));
			return;
		}
		done.complete(new DispatchResult(text.toString(), new Usage(prompt, 0, events.size()), "length",
				new EngineLoad(request.engine(), 0, 0, 1, 0, 1, 1, Instant.now())));
	}

	@Override
	public void cancel(String engine, String attemptId) {
		CompletableFuture<DispatchResult> done = this.hanging.remove(attemptId);
		if (done != null) {
			done.completeExceptionally(CallFailure.mayHaveRun(ErrorCode.CANCELLED, "cancelled"));
		}
	}

	@Override
	public void releaseSession(String engine, ProgramId program) {
		this.released.add(engine + " " + program);
	}

	static String token(List<Message> prompt, long index) {
		return Long.toString(Math.floorMod(prompt.hashCode() * 31L + index, 1000)) + " ";
	}

	static String answer(List<Message> prompt, int tokens) {
		StringBuilder text = new StringBuilder();
		for (long i = 0; i < tokens; i++) {
			text.append(token(prompt, i));
		}
		return text.toString();
	}

	static long promptTokens(List<Message> prompt) {
		return prompt.stream().mapToLong((message) -> 1 + message.content().split(" ").length).sum();
	}

	/**
	 * Fate of one attempt.
	 *
	 * @param dieAfter tokens after which the engine dies, or -1
	 * @param hang whether the attempt then stays open until it is cancelled
	 * @param lose index of an event that is lost, or -1
	 * @param refusal failure without any effect, or {@code null}
	 */
	record Plan(int dieAfter, boolean hang, int lose, @Nullable CallFailure refusal) {

		static final Plan OK = new Plan(-1, false, -1, null);

		static Plan die(int after) {
			return new Plan(after, false, -1, null);
		}

		static Plan hangAfter(int tokens) {
			return new Plan(tokens, true, -1, null);
		}

		static Plan loseEvent(int index) {
			return new Plan(-1, false, index, null);
		}

		static Plan refuse(CallFailure failure) {
			return new Plan(-1, false, -1, failure);
		}

		// A lost event is followed by repeats and swapped neighbours.
		List<CallEvent> mangle(List<CallEvent> events) {
			if (this.lose < 0) {
				return events;
			}
			List<CallEvent> out = new ArrayList<>(events);
			if (out.size() > 2) {
				Collections.swap(out, 0, 1);
				out.add(out.get(0));
			}
			if (this.lose < events.size()) {
				out.removeAll(List.of(events.get(this.lose)));
			}
			return out;
		}

	}

}

package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.EngineChoice;
import org.hemlockgw.core.dispatch.EngineQuery;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.CallTransitions;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramSnapshot;
import org.hemlockgw.core.program.RequestDigest;
import org.hemlockgw.core.program.RunningCall;
import org.hemlockgw.core.program.Transition;
import org.hemlockgw.core.retry.Backoff;
import org.hemlockgw.core.retry.RetryRules;
import org.hemlockgw.core.retry.Suspects;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * Runs one model turn: one attempt after another, each continuing the answer of the one
 * before.
 */
final class ModelTurn {

	/** Hand-backs per call that are not taken from the retry budget. */
	private static final int FREE_HAND_BACKS = 3;

	/** Estimate for queue order only; reservations use the byte length. */
	private static final int BYTES_PER_TOKEN = 4;

	private final OwnerContext context;

	private final LedgerWriter writer;

	private final CallQueue queue;

	private final ProgramCell cell;

	private final LiveCall call;

	private final List<Message> prompt;

	private final String contentDigest;

	private final long promptTokens;

	private final Set<String> excluded = new HashSet<>();

	private int retries;

	private int handBacks;

	ModelTurn(OwnerContext context, LedgerWriter writer, CallQueue queue, ProgramCell cell, LiveCall call,
			RunningCall admitted) {
		this.context = context;
		this.writer = writer;
		this.queue = queue;
		this.cell = cell;
		this.call = call;
		ProgramSnapshot state = cell.state();
		this.prompt = new ArrayList<>(state.history().messages());
		this.prompt.addAll(admitted.newMessages());
		this.contentDigest = RequestDigest.content(call.request().target(), this.prompt);
		this.promptTokens = state.history().tokens()
				+ admitted.newMessages().stream().mapToLong((message) -> message.content().length()).sum()
						/ BYTES_PER_TOKEN;
	}

	void start() {
		if (quarantined()) {
			fail(CallFailure.notRun(ErrorCode.QUARANTINED, "requests with this content have crashed engines"), false);
			return;
		}
		this.context.retries().firstAttempt();
		attemptWhenGranted();
	}

	private boolean quarantined() {
		Instant now = this.context.now();
		ControlRecord.Quarantine record = this.context.blackboard()
			.control()
			.get()
			.quarantined()
			.get(this.contentDigest);
		return (record != null && now.isBefore(record.until()))
				|| this.context.suspects().quarantined(this.contentDigest, now);
	}

	// Spending more than the durable grant would let a successor spend the same tokens.
	private void attemptWhenGranted() {
		CompletableFuture<Void> grant;
		synchronized (this.cell.slot()) {
			if (this.cell.grants().covers(this.cell.state().budget().committed())) {
				grant = CompletableFuture.completedFuture(null);
			}
			else {
				grant = this.cell.lastGrant();
			}
		}
		IntentWait.durable(this.context, grant).whenComplete((done, error) -> {
			if (error != null) {
				fail(CallFailure.of(error), false);
				return;
			}
			attempt();
		});
	}

	private void attempt() {
		Optional<EngineChoice> choice = choose();
		if (choice.isEmpty()) {
			failed(null, CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE,
					"no backend server serves model '" + this.call.request().target() + "'"));
			return;
		}
		String engine = choice.get().engine();
		Attempt attempt = new Attempt(UUID.randomUUID().toString(), engine, this.context.now());
		DispatchRequest request;
		synchronized (this.cell.slot()) {
			if (this.call.phase() != LiveCall.Phase.ADMITTED) {
				return;
			}
			AnswerStream.Prefix prefix = this.call.answer().begin(attempt);
			request = request(attempt, prefix, choice.get().estimatedCachedTokens());
			this.call.phase(LiveCall.Phase.SENT);
			this.call.onCancel(() -> this.context.dispatcher().cancel(engine, attempt.id()));
			Dispatched record = new Dispatched(this.cell.id(), this.call.request().requestId(), attempt.id(), engine,
					prefix.tokens());
			this.writer.apply(this.cell, CallTransitions.dispatched(this.cell.state(), record));
		}
		this.context.note(this.call, "engine_chosen", choice.get().reason());
		send(request, attempt);
	}

	private Optional<EngineChoice> choose() {
		ProgramSnapshot state = this.cell.state();
		EngineQuery query = new EngineQuery(state.id(), this.call.request().target(), this.promptTokens, state.engine(),
				state.history().tokens(), Set.copyOf(this.excluded));
		Optional<EngineChoice> choice = this.context.chooser().choose(query);
		if (choice.isPresent() || this.excluded.isEmpty()) {
			return choice;
		}
		// Every other engine failed too; any of them may work again.
		this.excluded.clear();
		return this.context.chooser()
			.choose(new EngineQuery(state.id(), query.model(), query.promptTokens(), query.lastEngine(),
					query.lastPromptTokens(), Set.of()));
	}

	private DispatchRequest request(Attempt attempt, AnswerStream.Prefix prefix, long cachedTokens) {
		return new DispatchRequest(this.cell.id(), attempt.id(), attempt.engine(), this.call.request().target(),
				List.copyOf(this.prompt), prefix.text(), prefix.tokens(), this.call.request().maxTokens(),
				this.cell.state().budget().settled(), this.promptTokens, cachedTokens,
				this.context.suspects().suspect(this.contentDigest, attempt.startedAt()), this.call.deadline(),
				Tracing.traceparent(this.call.span()));
	}

	private void send(DispatchRequest request, Attempt attempt) {
		CompletableFuture<DispatchResult> sent;
		try {
			sent = this.context.dispatcher().dispatch(request, (event) -> this.call.answer().offer(attempt, event));
		}
		catch (RuntimeException ex) {
			sent = CompletableFuture.failedFuture(ex);
		}
		sent.whenCompleteAsync((result, error) -> {
			if (error != null) {
				failed(attempt, CallFailure.of(error));
				return;
			}
			succeeded(attempt, result);
		}, this.context.executor());
	}

	private void succeeded(Attempt attempt, DispatchResult result) {
		updateLoad(result);
		String text = this.call.answer().finish(attempt, result.text(), result.usage().completionTokens());
		if (text == null) {
			failed(attempt, CallFailure.mayHaveRun(ErrorCode.INTERNAL, "the answer differs from its events"));
			return;
		}
		synchronized (this.cell.slot()) {
			RunningCall admitted = this.cell.state().calls().running();
			if (this.call.phase() != LiveCall.Phase.SENT || admitted == null) {
				return;
			}
			this.call.setFinished();
			CallResult answer = new CallResult(text, result.usage(), result.finishReason(), 200, new byte[0],
					this.cell.state().history().turns() + 1);
			Transition finished = CallTransitions.finishTurn(this.cell.state(), admitted, answer, attempt.engine(),
					this.context.now());
			this.cell.running(null);
			CompletableFuture<Void> append = this.writer.apply(this.cell, finished);
			ResultRelease.whenDurable(this.context, this.queue, this.cell, this.call, answer, append);
			this.queue.pumpLocked(this.cell);
		}
	}

	private void updateLoad(DispatchResult result) {
		this.context.blackboard().engineLoads().update((loads) -> {
			var known = loads.get(result.load().engine());
			if (known != null && !known.at().isBefore(result.load().at())) {
				return loads;
			}
			var next = new HashMap<>(loads);
			next.put(result.load().engine(), result.load());
			return Map.copyOf(next);
		});
	}

	private void failed(@Nullable Attempt attempt, CallFailure failure) {
		boolean ran = failure.verdict() != Verdict.NOT_RUN;
		if (attempt != null && ran && failure.code() == ErrorCode.BACKEND_FAILED && isCrash(attempt)) {
			return;
		}
		if (attempt != null) {
			this.excluded.add(attempt.engine());
		}
		if (!mayRetry(failure)) {
			fail(failure, ran);
			return;
		}
		synchronized (this.cell.slot()) {
			RunningCall admitted = this.cell.state().calls().running();
			if (this.call.phase() == LiveCall.Phase.DONE || admitted == null) {
				return;
			}
			this.call.phase(LiveCall.Phase.ADMITTED);
			if (ran) {
				this.call.setMayHaveRun();
				try {
					this.writer.apply(this.cell, CallTransitions.nextAttempt(this.cell.state(), admitted));
				}
				catch (CallFailure ex) {
					this.queue.failLocked(this.cell, this.call, ex, true);
					return;
				}
			}
		}
		this.retries++;
		this.context.count("retries");
		this.context.note(this.call, "retry", failure.code() + " " + failure.verdict() + ": " + failure.getMessage());
		this.context.after(delay(failure), this::attemptWhenGranted);
	}

	// Counts an engine death. Returns true when the call was stopped because of it.
	private boolean isCrash(Attempt attempt) {
		Instant now = this.context.now();
		if (!this.context.suspects().died(this.contentDigest, attempt.engine(), attempt.startedAt(), now)) {
			return false;
		}
		String reason = "two engines died under this content, the last one was " + attempt.engine();
		this.context.control()
			.append(new ControlRecord.Quarantine(this.contentDigest, reason, now.plus(Suspects.QUARANTINE)));
		this.context.count("quarantined");
		fail(CallFailure.mayHaveRun(ErrorCode.QUARANTINED, reason), true);
		return true;
	}

	private boolean mayRetry(CallFailure failure) {
		if (!RetryRules.retryable(failure, true) || !this.context.now().isBefore(this.call.deadline())) {
			return false;
		}
		if (RetryRules.handedBack(failure) && this.handBacks++ < FREE_HAND_BACKS) {
			return true;
		}
		return this.context.retries().tryRetry();
	}

	private Duration delay(CallFailure failure) {
		if (failure.retryAfter() != null) {
			return failure.retryAfter();
		}
		// A first retry goes to another engine, so that waiting gains nothing.
		if (this.retries == 1) {
			return Duration.ZERO;
		}
		return Backoff.DEFAULT.delay(this.retries, ThreadLocalRandom.current().nextDouble());
	}

	private void fail(CallFailure failure, boolean charge) {
		synchronized (this.cell.slot()) {
			this.queue.failLocked(this.cell, this.call, failure, charge);
		}
	}

	/**
	 * One attempt on one engine.
	 */
	private record Attempt(String id, String engine, Instant startedAt) {
	}

}

package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ImmutableMaps;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.EngineChoice;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.dispatch.EngineQuery;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.CallTransitions;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramSnapshot;
import org.hemlockgw.core.program.RequestDigest;
import org.hemlockgw.core.program.RunningCall;
import org.hemlockgw.core.program.Transition;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.core.retry.Backoff;
import org.hemlockgw.core.retry.RetryRules;
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

	private final RecordWriter writer;

	private final CallQueue queue;

	private final ProgramCell cell;

	private final LiveCall call;

	private final List<Message> prompt;

	private final long promptTokens;

	private final CrashGuard crashes;

	private final Set<String> excluded = new HashSet<>();

	private int retries;

	private int handBacks;

	ModelTurn(OwnerContext context, RecordWriter writer, CallQueue queue, ProgramCell cell, LiveCall call,
			RunningCall admitted) {
		this.context = context;
		this.writer = writer;
		this.queue = queue;
		this.cell = cell;
		this.call = call;
		ProgramSnapshot state = cell.state();
		List<Message> all = new ArrayList<>(state.history().messages());
		all.addAll(admitted.newMessages());
		this.prompt = List.copyOf(all);
		this.promptTokens = state.history().tokens()
				+ admitted.newMessages().stream().mapToLong((message) -> message.content().length()).sum()
						/ BYTES_PER_TOKEN;
		this.crashes = new CrashGuard(context, RequestDigest.ofContent(call.request().target(), this.prompt));
	}

	void start() {
		guarded(() -> {
			if (this.crashes.quarantined()) {
				fail(CallFailure.notRun(ErrorCode.QUARANTINED, "requests with this content have crashed engines"),
						false);
				return;
			}
			this.context.retries().recordFirstAttempt();
			attemptWhenGranted();
		});
	}

	// Spending more than the durable grant would let a successor spend the same tokens.
	private void attemptWhenGranted() {
		CompletableFuture<Void> grant;
		synchronized (this.cell.slot()) {
			grant = this.cell.grants().covers(this.cell.state().budget().committed()) ? null : this.cell.lastGrant();
		}
		if (grant == null) {
			attempt();
			return;
		}
		IntentWait.durable(this.context, grant).whenComplete((done, error) -> guarded(() -> {
			if (error != null) {
				fail(CallFailure.of(error), false);
				return;
			}
			// A later grant may be on its way by now.
			attemptWhenGranted();
		}));
	}

	private void attempt() {
		Optional<EngineChoice> choice = choose();
		if (choice.isEmpty()) {
			failed(null, CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE,
					"no backend server serves model '" + this.call.request().target() + "'"));
			return;
		}
		String engine = choice.get().engine();
		TurnAttempt attempt;
		DispatchRequest request;
		synchronized (this.cell.slot()) {
			if (this.call.phase() != LiveCall.Phase.ADMITTED) {
				return;
			}
			attempt = new TurnAttempt(engine, this.context.now(), this.call.deadline());
			AnswerStream.Prefix prefix = this.call.answer().begin(attempt);
			this.call.phase(LiveCall.Phase.SENT);
			if (prefix.tokens() >= this.call.request().maxTokens()) {
				completeFromPrefixLocked(attempt, prefix);
				return;
			}
			request = request(attempt, prefix, choice.get().estimatedCachedTokens());
			String attemptId = attempt.id();
			this.call.onCancel(() -> this.context.dispatcher().cancel(engine, attemptId));
			Dispatched record = new Dispatched(this.cell.id(), this.call.request().requestId(), attemptId, engine,
					prefix.tokens());
			this.writer.apply(this.cell, CallTransitions.recordDispatch(this.cell.state(), record));
		}
		this.context.note(this.call, "engine_chosen", engine + ": " + choice.get().reason());
		send(request, attempt);
	}

	private Optional<EngineChoice> choose() {
		Optional<EngineChoice> choice = choose(Set.copyOf(this.excluded));
		if (choice.isPresent() || this.excluded.isEmpty()) {
			return choice;
		}
		// Every other engine failed too; any of them may work again.
		this.excluded.clear();
		return choose(Set.of());
	}

	private Optional<EngineChoice> choose(Set<String> without) {
		ProgramSnapshot state = this.cell.state();
		return this.context.chooser()
			.choose(new EngineQuery(state.id(), this.call.request().target(), this.promptTokens, state.engine(),
					state.history().tokens(), without));
	}

	private DispatchRequest request(TurnAttempt attempt, AnswerStream.Prefix prefix, long cachedTokens) {
		return new DispatchRequest(this.cell.id(), attempt.id(), attempt.engine(), this.call.request().target(),
				this.prompt, prefix.text(), prefix.tokens(), this.call.request().maxTokens(),
				this.cell.state().budget().settled(), this.promptTokens, cachedTokens, this.crashes.suspect(),
				this.call.deadline(), Tracing.traceparent(this.call.span()));
	}

	// The engine died after the last token, so that nothing is left to generate. Its
	// usage
	// is unknown and charged in full.
	private void completeFromPrefixLocked(TurnAttempt attempt, AnswerStream.Prefix prefix) {
		RunningCall admitted = this.cell.state().calls().running();
		long reserved = (admitted != null) ? admitted.reserved() : 0;
		Usage usage = new Usage(reserved - prefix.tokens(), 0, prefix.tokens());
		this.call.answer().finish(attempt, "", 0);
		finishLocked(attempt.engine(), prefix.text(), usage, "length");
	}

	private void send(DispatchRequest request, TurnAttempt attempt) {
		CompletableFuture<DispatchResult> sent;
		try {
			sent = this.context.dispatcher()
				.dispatch(request, (event) -> attempt.received(this.call.answer(), event, this.context.now()));
		}
		catch (RuntimeException ex) {
			sent = CompletableFuture.failedFuture(ex);
		}
		sent.whenCompleteAsync((result, error) -> guarded(() -> {
			if (!attempt.end()) {
				return;
			}
			if (error != null) {
				failed(attempt, CallFailure.of(error));
				return;
			}
			succeeded(attempt, result);
		}), this.context.executor());
		watchStall(attempt);
	}

	private void watchStall(TurnAttempt attempt) {
		Duration left = Duration.between(this.context.now(), attempt.stalledAt());
		// Short steps, because a timer keeps the prompt in memory after the call has
		// ended.
		Duration step = (left.compareTo(TurnAttempt.MAX_SILENCE) < 0) ? left : TurnAttempt.MAX_SILENCE;
		this.context.after(step, () -> guarded(() -> {
			if (attempt.ended()) {
				return;
			}
			if (this.context.now().isBefore(attempt.stalledAt())) {
				watchStall(attempt);
				return;
			}
			if (attempt.end()) {
				this.context.dispatcher().cancel(attempt.engine(), attempt.id());
				failed(attempt, CallFailure.mayHaveRun(ErrorCode.BACKEND_UNAVAILABLE,
						"the dispatcher of " + attempt.engine() + " sent nothing for too long"));
			}
		}));
	}

	private void succeeded(TurnAttempt attempt, DispatchResult result) {
		updateLoad(result.load());
		this.crashes.processed();
		String text = this.call.answer().finish(attempt, result.text(), result.usage().completionTokens());
		if (text == null) {
			failed(attempt, CallFailure.mayHaveRun(ErrorCode.INTERNAL, "the answer differs from its events"));
			return;
		}
		synchronized (this.cell.slot()) {
			if (this.call.phase() == LiveCall.Phase.SENT) {
				finishLocked(attempt.engine(), text, wholeAnswer(result.usage()), result.finishReason());
			}
		}
	}

	// An engine that continued an answer counts the first part as prompt. The sum, which
	// is
	// charged, stays the same.
	private Usage wholeAnswer(Usage usage) {
		long missing = this.call.answer().tokens() - usage.completionTokens();
		if (missing <= 0 || missing > usage.promptTokens()) {
			return usage;
		}
		return new Usage(usage.promptTokens() - missing, usage.cachedTokens(), usage.completionTokens() + missing);
	}

	private void finishLocked(String engine, String text, Usage usage, String finishReason) {
		RunningCall admitted = this.cell.state().calls().running();
		if (admitted == null || this.cell.running() != this.call) {
			return;
		}
		this.call.setFinished();
		CallResult answer = new CallResult(text, usage, finishReason, 200, new byte[0],
				this.cell.state().history().turns() + 1);
		Transition finished = CallTransitions.finishTurn(this.cell.state(), admitted, answer, engine,
				this.context.now());
		this.cell.running(null);
		CompletableFuture<Void> append = this.writer.apply(this.cell, finished);
		ResultRelease.whenDurable(this.context, this.queue, this.cell, this.call, answer, append);
		this.queue.pumpLocked(this.cell);
	}

	private void updateLoad(EngineLoad load) {
		this.context.blackboard().engineLoads().update((loads) -> {
			EngineLoad known = loads.get(load.engine());
			if (known != null && !known.observedAt().isBefore(load.observedAt())) {
				return loads;
			}
			Map<String, EngineLoad> next = new HashMap<>(loads);
			next.put(load.engine(), load);
			return ImmutableMaps.copyOf(next);
		});
	}

	private void failed(@Nullable TurnAttempt attempt, CallFailure failure) {
		boolean ran = failure.verdict() != Verdict.NOT_RUN;
		if (attempt != null) {
			this.excluded.add(attempt.engine());
			if (ran && failure.code() == ErrorCode.BACKEND_FAILED && this.crashes.died(attempt)) {
				fail(CallFailure.mayHaveRun(ErrorCode.QUARANTINED, "two engines died under this content"), true);
				return;
			}
		}
		if (!mayRetry(failure)) {
			fail(forCaller(failure), ran);
			return;
		}
		synchronized (this.cell.slot()) {
			if (!prepareRetryLocked(ran)) {
				return;
			}
		}
		this.retries++;
		this.context.count("retries");
		this.context.note(this.call, "retry", failure.code() + " " + failure.verdict() + ": " + failure.getMessage());
		this.context.after(delay(failure), () -> guarded(this::attemptWhenGranted));
	}

	// To the caller these codes would mean that the program's owner is changing.
	private static CallFailure forCaller(CallFailure failure) {
		if (failure.code() != ErrorCode.NOT_OWNER && failure.code() != ErrorCode.SHUTTING_DOWN) {
			return failure;
		}
		return new CallFailure(ErrorCode.BACKEND_UNAVAILABLE, failure.verdict(), String.valueOf(failure.getMessage()),
				failure.retryAfter());
	}

	private boolean prepareRetryLocked(boolean ran) {
		RunningCall admitted = this.cell.state().calls().running();
		if (this.call.phase() == LiveCall.Phase.DONE || admitted == null) {
			return false;
		}
		this.call.phase(LiveCall.Phase.ADMITTED);
		if (!ran) {
			return true;
		}
		this.call.setMayHaveRun();
		try {
			this.writer.apply(this.cell, CallTransitions.reserveNextAttempt(this.cell.state(), admitted));
			return true;
		}
		catch (CallFailure ex) {
			this.queue.failLocked(this.cell, this.call, ex, true);
			return false;
		}
	}

	private boolean mayRetry(CallFailure failure) {
		if (!RetryRules.isRetryable(failure, true) || !this.context.now().isBefore(this.call.deadline())) {
			return false;
		}
		if (RetryRules.isDrainRejection(failure) && this.handBacks++ < FREE_HAND_BACKS) {
			return true;
		}
		return this.context.retries().tryAcquire();
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

	// An unexpected fault must not leave the caller waiting and the program blocked.
	private void guarded(Runnable step) {
		try {
			step.run();
		}
		catch (RuntimeException ex) {
			fail(CallFailure.of(ex), true);
		}
	}

}

package org.hemlockgw.daemon.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.explain.RequestEventRecorder;
import org.hemlockgw.core.program.EventSink;

/**
 * Sends each attempt to the dispatcher of its engine, or directly to the engine when that
 * dispatcher is unreachable and has delivered nothing.
 */
public final class RoutedDispatcher implements Dispatcher {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String DIRECT_SUFFIX = "-direct";

	private static final Duration MAX_RELEASE_BACKOFF = Duration.ofSeconds(5);

	/**
	 * A new dispatcher releases the sessions of ended programs by itself, so an order
	 * that nobody takes for this long is given up.
	 */
	private static final Duration RELEASE_TIMEOUT = Duration.ofMinutes(10);

	private final HolderLookup holders;

	private final Dispatcher local;

	private final Function<String, ? extends Dispatcher> remote;

	private final ReleaseSender releases;

	private final ScheduledExecutorService scheduler;

	private final InstantSource clock;

	private final RequestEventRecorder journal;

	private final DirectSender direct;

	/**
	 * Creates the dispatcher.
	 * @param holders finds the dispatchers of engines
	 * @param local the dispatcher of this daemon; also sends directly
	 * @param remote returns the dispatcher at a peer address
	 * @param releases sends release orders to other daemons
	 * @param scheduler runs retries
	 * @param clock the time
	 * @param journal records direct sending
	 */
	public RoutedDispatcher(HolderLookup holders, Dispatcher local, Function<String, ? extends Dispatcher> remote,
			ReleaseSender releases, ScheduledExecutorService scheduler, InstantSource clock,
			RequestEventRecorder journal) {
		this.holders = holders;
		this.local = local;
		this.remote = remote;
		this.releases = releases;
		this.scheduler = scheduler;
		this.clock = clock;
		this.journal = journal;
		this.direct = new DirectSender(local, clock);
	}

	/**
	 * Sends waiting requests to the new dispatcher of their engine. To be called after
	 * each change of the control state.
	 * @param control the new state
	 */
	public void controlChanged(ControlState control) {
		for (String engine : this.direct.engines()) {
			if (this.holders.engine(engine).isPresent()) {
				this.direct.takeWaiting(engine)
					.forEach((waiting) -> waiting.follow(dispatch(waiting.request(), waiting.sink())));
			}
		}
	}

	@Override
	public CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink) {
		Optional<HolderLookup.Location> location = this.holders.engine(request.engine());
		if (location.isEmpty()) {
			return sendDirectly(request, sink, "no dispatcher of " + request.engine() + " is known");
		}
		if (location.get().local()) {
			return this.local.dispatch(request, sink);
		}
		AtomicBoolean delivered = new AtomicBoolean();
		return this.remote.apply(location.get().address()).dispatch(request, (event) -> {
			delivered.set(true);
			sink.accept(event);
		}).exceptionallyCompose((thrown) -> remoteFailed(request, sink, delivered.get(), CallFailure.of(thrown)));
	}

	private CompletableFuture<DispatchResult> remoteFailed(DispatchRequest request, EventSink sink, boolean delivered,
			CallFailure failure) {
		boolean unreachable = failure.code() == ErrorCode.OWNER_UNAVAILABLE || failure.code() == ErrorCode.NOT_OWNER;
		if (!unreachable) {
			return CompletableFuture.failedFuture(failure);
		}
		if (delivered) {
			return CompletableFuture.failedFuture(CallFailure.mayHaveRun(ErrorCode.BACKEND_UNAVAILABLE,
					"the dispatcher of " + request.engine() + " was lost during the answer: " + failure.getMessage()));
		}
		// The first attempt may still be on the engine, which knows requests by
		// identifier.
		DispatchRequest again = (failure.verdict() == Verdict.NOT_RUN) ? request
				: withAttemptId(request, request.attemptId() + DIRECT_SUFFIX);
		return sendDirectly(again, sink, String.valueOf(failure.getMessage()));
	}

	private CompletableFuture<DispatchResult> sendDirectly(DispatchRequest request, EventSink sink, String reason) {
		this.journal.record(request.program(), request.attemptId(), "owner", "direct_send", reason);
		return this.direct.send(request, sink);
	}

	@Override
	public void cancel(String engine, String attemptId) {
		this.direct.cancel(engine, attemptId);
		this.direct.cancel(engine, attemptId + DIRECT_SUFFIX);
		this.local.cancel(engine, attemptId);
		this.local.cancel(engine, attemptId + DIRECT_SUFFIX);
		this.holders.engine(engine)
			.filter((location) -> !location.local())
			.ifPresent((location) -> this.remote.apply(location.address()).cancel(engine, attemptId));
	}

	@Override
	public void releaseSession(String engine, ProgramId program) {
		releaseSession(engine, program, new Backoff(MAX_RELEASE_BACKOFF), this.clock.instant().plus(RELEASE_TIMEOUT));
	}

	private void releaseSession(String engine, ProgramId program, Backoff backoff, Instant until) {
		Optional<HolderLookup.Location> location = this.holders.engine(engine);
		if (location.isEmpty()) {
			releaseLater(engine, program, backoff, until);
			return;
		}
		if (location.get().local()) {
			this.local.releaseSession(engine, program);
			return;
		}
		this.releases.send(location.get().address(), engine, program).whenComplete((done, thrown) -> {
			if (thrown != null) {
				releaseLater(engine, program, backoff, until);
			}
		});
	}

	private void releaseLater(String engine, ProgramId program, Backoff backoff, Instant until) {
		if (!this.clock.instant().isBefore(until)) {
			logger.atWarning().log("no dispatcher of %s took the release of %s", engine, program);
			return;
		}
		try {
			this.scheduler.schedule(() -> releaseSession(engine, program, backoff, until), backoff.nextMs(),
					TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			logger.atInfo().log("the release of %s on %s is left to its dispatcher", program, engine);
		}
	}

	private static DispatchRequest withAttemptId(DispatchRequest r, String attemptId) {
		return new DispatchRequest(r.program(), attemptId, r.engine(), r.model(), r.messages(), r.partialAnswer(),
				r.firstOffset(), r.maxTokens(), r.attainedTokens(), r.estimatedPromptTokens(),
				r.estimatedCachedTokens(), r.suspect(), r.deadline(), r.traceparent());
	}

}

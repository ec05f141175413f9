package org.hemlockgw.daemon.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.program.ProgramService;

/**
 * Attempts of one command at the successive owners of its shard, one at a time.
 *
 * @param <T> type of the result
 */
final class OwnerAttempts<T> {

	/** A shard without owner waits for a take-over, which takes a few log appends. */
	private static final Duration MAX_BACKOFF = Duration.ofMillis(250);

	/** The owner ends a call at its deadline itself and knows the verdict better. */
	private static final Duration DEADLINE_GRACE = Duration.ofMillis(500);

	private final RoutedProgramService service;

	private final Subject subject;

	private final Function<ProgramService, CompletableFuture<T>> operation;

	private final AnswerAssembler answer;

	private final CompletableFuture<T> result = new CompletableFuture<>();

	private final Backoff backoff = new Backoff(MAX_BACKOFF);

	private final Set<Incarnation> uncertain = new HashSet<>();

	private CallFailure last;

	private @Nullable Incarnation running;

	OwnerAttempts(RoutedProgramService service, Subject subject,
			Function<ProgramService, CompletableFuture<T>> operation, AnswerAssembler answer) {
		this.service = service;
		this.subject = subject;
		this.operation = operation;
		this.answer = answer;
		this.last = CallFailure.notRun(ErrorCode.OWNER_UNAVAILABLE, "no owner of " + subject.program() + " is known");
	}

	CompletableFuture<T> start() {
		long untilMs = remaining().plus(DEADLINE_GRACE).toMillis();
		ScheduledFuture<?> timer = this.service.scheduler()
			.schedule(this::expire, Math.max(0, untilMs), TimeUnit.MILLISECONDS);
		this.result.whenComplete((value, thrown) -> timer.cancel(false));
		attempt();
		return this.result;
	}

	private synchronized void attempt() {
		if (this.result.isDone()) {
			return;
		}
		Optional<HolderLookup.Location> location = this.service.locate(this.subject.program());
		if (location.isEmpty()) {
			retryLater();
			return;
		}
		Incarnation owner = location.get().incarnation();
		this.running = owner;
		this.operation.apply(this.service.owner(location.get()))
			.whenComplete((value, thrown) -> attemptEnded(owner, value, thrown));
	}

	private void attemptEnded(Incarnation owner, T value, @Nullable Throwable thrown) {
		if (thrown == null) {
			this.result.complete(value);
			return;
		}
		CallFailure failure = CallFailure.of(thrown);
		synchronized (this) {
			this.running = null;
			this.last = failure;
			if (isRetryable(failure)) {
				if (failure.verdict() != Verdict.NOT_RUN) {
					this.uncertain.add(owner);
				}
				this.service.journal()
					.record(this.subject.program(), this.subject.requestId(), "entry", "owner_retry",
							failure.code().wireName() + " from " + owner.vm() + ": " + failure.getMessage());
				retryLater();
				return;
			}
		}
		this.result.completeExceptionally(withProvenVerdict(owner, failure));
	}

	private static boolean isRetryable(CallFailure failure) {
		return switch (failure.code()) {
			case NOT_OWNER, OWNER_UNAVAILABLE -> true;
			case SHUTTING_DOWN -> failure.verdict() == Verdict.NOT_RUN;
			default -> false;
		};
	}

	private void retryLater() {
		long delayMs = this.backoff.nextMs();
		if (remaining().toMillis() <= delayMs) {
			expire();
			return;
		}
		try {
			this.service.scheduler().schedule(this::attempt, delayMs, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			expire();
		}
	}

	private synchronized void expire() {
		if (this.running != null) {
			this.result.completeExceptionally(CallFailure.mayHaveRun(ErrorCode.DEADLINE_EXCEEDED,
					"no answer from " + this.running.vm() + " before the deadline"));
			return;
		}
		boolean notRun = this.uncertain.isEmpty() && this.last.verdict() == Verdict.NOT_RUN && !this.answer.started();
		this.result
			.completeExceptionally(new CallFailure(this.last.code(), notRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
					"deadline passed; last attempt: " + this.last.getMessage(), this.last.retryAfter()));
	}

	// Withdraws NOT_RUN when an earlier owner may have run the request. The last owner's
	// word is final for a non-idempotent call, because its intent would be in the ledger
	// that this owner took over.
	private CallFailure withProvenVerdict(Incarnation owner, CallFailure failure) {
		if (failure.verdict() != Verdict.NOT_RUN) {
			return failure;
		}
		synchronized (this) {
			this.uncertain.remove(owner);
			boolean earlierMayHaveRun = this.subject.idempotent() && !this.uncertain.isEmpty();
			if (!earlierMayHaveRun && !this.answer.started()) {
				return failure;
			}
		}
		return new CallFailure(failure.code(), Verdict.MAY_HAVE_RUN, String.valueOf(failure.getMessage()),
				failure.retryAfter());
	}

	private Duration remaining() {
		return Duration.between(this.service.clock().instant(), this.subject.deadline());
	}

	/**
	 * What the attempts are for.
	 *
	 * @param program the program
	 * @param requestId the request, or the command's name
	 * @param idempotent whether it may run more than once
	 * @param deadline when the caller stops waiting
	 */
	record Subject(ProgramId program, String requestId, boolean idempotent, Instant deadline) {
	}

}

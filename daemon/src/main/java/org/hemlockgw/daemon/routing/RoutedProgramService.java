package org.hemlockgw.daemon.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.explain.RequestEventRecorder;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramView;

/**
 * Sends each command to the owner of the program's shard and repeats it when the owner
 * changes. Repeating is safe because the owner recognises request identifiers.
 */
public final class RoutedProgramService implements ProgramService {

	/**
	 * Commands without a deadline of their own. Failure detection takes 2 s and a
	 * take-over a few log appends, so one change of owner fits in.
	 */
	static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(15);

	private final HolderLookup holders;

	private final ProgramService local;

	private final Function<String, ? extends ProgramService> remote;

	private final ScheduledExecutorService scheduler;

	private final InstantSource clock;

	private final RequestEventRecorder journal;

	/**
	 * Creates the service.
	 * @param holders finds owners
	 * @param local the program owner of this daemon
	 * @param remote returns the program owner at a peer address
	 * @param scheduler runs retries
	 * @param clock the time
	 * @param journal records retries
	 */
	public RoutedProgramService(HolderLookup holders, ProgramService local,
			Function<String, ? extends ProgramService> remote, ScheduledExecutorService scheduler, InstantSource clock,
			RequestEventRecorder journal) {
		this.holders = holders;
		this.local = local;
		this.remote = remote;
		this.scheduler = scheduler;
		this.clock = clock;
		this.journal = journal;
	}

	@Override
	public CompletableFuture<ProgramView> open(OpenProgram command) {
		return command(command.id(), "open", (owner) -> owner.open(command));
	}

	@Override
	public CompletableFuture<ProgramView> get(ProgramId program) {
		return command(program, "get", (owner) -> owner.get(program));
	}

	@Override
	public CompletableFuture<ProgramView> end(ProgramId program) {
		return command(program, "end", (owner) -> owner.end(program));
	}

	@Override
	public CompletableFuture<CallResult> call(CallRequest request, EventSink sink) {
		AnswerAssembler answer = new AnswerAssembler(sink);
		OwnerAttempts.Subject subject = new OwnerAttempts.Subject(request.program(), request.requestId(),
				request.idempotent(), request.deadline());
		return new OwnerAttempts<CallResult>(this, subject, (owner) -> owner.call(request, answer.attempt()), answer)
			.start()
			.thenApply((result) -> finished(answer, result));
	}

	private static CallResult finished(AnswerAssembler answer, CallResult result) {
		answer.finish(result.text(), result.usage().completionTokens());
		if (answer.diverged()) {
			throw CallFailure.mayHaveRun(ErrorCode.OWNER_UNAVAILABLE,
					"the answer was generated again after a failure and differs from the part already delivered; "
							+ "send the request again with the same idempotency key to get the recorded answer");
		}
		return result;
	}

	private CompletableFuture<ProgramView> command(ProgramId program, String name,
			Function<ProgramService, CompletableFuture<ProgramView>> operation) {
		Instant deadline = this.clock.instant().plus(COMMAND_TIMEOUT);
		OwnerAttempts.Subject subject = new OwnerAttempts.Subject(program, name, true, deadline);
		AnswerAssembler noAnswer = new AnswerAssembler((event) -> {
		});
		return new OwnerAttempts<>(this, subject, operation, noAnswer).start();
	}

	Optional<HolderLookup.Location> locate(ProgramId program) {
		return this.holders.shard(program.shard());
	}

	ProgramService owner(HolderLookup.Location location) {
		return location.local() ? this.local : this.remote.apply(location.address());
	}

	ScheduledExecutorService scheduler() {
		return this.scheduler;
	}

	InstantSource clock() {
		return this.clock;
	}

	RequestEventRecorder journal() {
		return this.journal;
	}

}

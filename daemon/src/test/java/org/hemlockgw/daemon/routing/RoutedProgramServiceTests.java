package org.hemlockgw.daemon.routing;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Collectors;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.Usage;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RoutedProgramService}.
 */
@Timeout(20)
class RoutedProgramServiceTests {

	private static final CallFailure LOST = CallFailure.mayHaveRun(ErrorCode.OWNER_UNAVAILABLE, "lost");

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final FakeCluster cluster = new FakeCluster();

	private final Map<String, ProgramService> remotes = new HashMap<>();

	private final List<CallEvent> events = new CopyOnWriteArrayList<>();

	private final RoutedProgramService service = new RoutedProgramService(this.cluster.lookup(),
			new FakeOwner((request, sink) -> done("local")), this.remotes::get, this.scheduler, InstantSource.system(),
			(program, request, hop, event, reason) -> {
			});

	@AfterEach
	void stop() {
		this.scheduler.shutdownNow();
	}

	// Guards against tokens that reach the caller twice, or not at all, when the owner
	// changes and the new owner splits the answer differently.
	@Test
	void noTokenIsRepeatedWhenTheOwnerChanges() throws Exception {
		this.cluster.setOwner(FakeCluster.FIRST);
		this.remotes.put("address of vm-1", new FakeOwner((request, sink) -> {
			sink.accept(new CallEvent(0, 1, "a"));
			sink.accept(new CallEvent(1, 2, "bc"));
			this.cluster.setOwner(FakeCluster.SECOND);
			return CompletableFuture.failedFuture(LOST);
		}));
		this.remotes.put("address of vm-2", new FakeOwner((request, sink) -> {
			sink.accept(new CallEvent(0, 2, "ab"));
			sink.accept(new CallEvent(2, 3, "cde"));
			sink.accept(new CallEvent(6, 1, "g"));
			return done("abcdefg");
		}));

		assertThat(call(true, Duration.ofSeconds(10)).get().text()).isEqualTo("abcdefg");
		assertThat(this.events.stream().map(CallEvent::text).collect(Collectors.joining())).isEqualTo("abcdefg");
		assertThat(this.events).containsExactly(new CallEvent(0, 1, "a"), new CallEvent(1, 2, "bc"),
				new CallEvent(3, 2, "de"), new CallEvent(5, 2, "fg"));
	}

	// Guards against an answer joined from two different texts.
	@Test
	void differentAnswerAfterFailoverIsNotJoined() throws Exception {
		this.cluster.setOwner(FakeCluster.FIRST);
		this.remotes.put("address of vm-1", new FakeOwner((request, sink) -> {
			sink.accept(new CallEvent(0, 1, "a"));
			this.cluster.setOwner(FakeCluster.SELF);
			return CompletableFuture.failedFuture(LOST);
		}));

		assertThat(failure(call(true, Duration.ofSeconds(10))).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.events).containsExactly(new CallEvent(0, 1, "a"));
	}

	// Guards against a failed call while a shard changes hands: an owner that refuses
	// and a shard without owner are waited out.
	@Test
	void waitsForTheNextOwner() throws Exception {
		this.cluster.setOwner(FakeCluster.FIRST);
		this.remotes.put("address of vm-1", new FakeOwner((request, sink) -> {
			this.cluster.blackboard.control().set(ControlState.EMPTY);
			this.scheduler.execute(() -> this.cluster.setOwner(FakeCluster.SELF));
			return CompletableFuture.failedFuture(CallFailure.notRun(ErrorCode.NOT_OWNER, "released"));
		}));
		assertThat(call(false, Duration.ofSeconds(10)).get().text()).isEqualTo("local");
	}

	// Guards against NOT_RUN without proof, and against MAY_HAVE_RUN where nothing ran.
	@Test
	void verdictAtTheDeadline() throws Exception {
		CallFailure never = failure(call(false, Duration.ofMillis(50)));
		assertThat(never.code()).isEqualTo(ErrorCode.OWNER_UNAVAILABLE);
		assertThat(never.verdict()).isEqualTo(Verdict.NOT_RUN);

		this.cluster.setOwner(FakeCluster.FIRST);
		this.remotes.put("address of vm-1", new FakeOwner((request, sink) -> {
			this.cluster.blackboard.control().set(ControlState.EMPTY);
			return CompletableFuture.failedFuture(LOST);
		}));
		assertThat(failure(call(false, Duration.ofMillis(50))).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);

		this.cluster.setOwner(FakeCluster.FIRST);
		this.remotes.put("address of vm-1", new FakeOwner((request, sink) -> new CompletableFuture<>()));
		CallFailure silent = failure(call(false, Duration.ofMillis(50)));
		assertThat(silent.code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
		assertThat(silent.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	// Guards against NOT_RUN from an owner that can't know what the one before it did
	// with an idempotent call. An intent of a non-idempotent call is in the ledger.
	@Test
	void laterRefusalProvesNothingForAnIdempotentCall() throws Exception {
		this.remotes.put("address of vm-1", new FakeOwner((request, sink) -> {
			this.cluster.setOwner(FakeCluster.SECOND);
			return CompletableFuture.failedFuture(LOST);
		}));
		this.remotes.put("address of vm-2", new FakeOwner((request, sink) -> CompletableFuture
			.failedFuture(CallFailure.notRun(ErrorCode.BUDGET_EXHAUSTED, "spent"))));

		this.cluster.setOwner(FakeCluster.FIRST);
		assertThat(failure(call(true, Duration.ofSeconds(10))).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		this.cluster.setOwner(FakeCluster.FIRST);
		assertThat(failure(call(false, Duration.ofSeconds(10))).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	private CompletableFuture<CallResult> call(boolean idempotent, Duration timeout) {
		CallRequest request = new CallRequest(FakeCluster.PROGRAM, "r1", 0, CallKind.MODEL, "m", idempotent, false,
				List.of(), 8, "", new byte[0], InstantSource.system().instant().plus(timeout), "");
		return this.service.call(request, this.events::add);
	}

	private static CompletableFuture<CallResult> done(String text) {
		return CompletableFuture
			.completedFuture(new CallResult(text, new Usage(1, 0, text.length()), "stop", 200, new byte[0], 1));
	}

	private static CallFailure failure(CompletableFuture<?> future) throws Exception {
		Throwable thrown = future.handle((value, failure) -> failure).get();
		assertThat(thrown).isNotNull();
		return CallFailure.of(thrown);
	}

}

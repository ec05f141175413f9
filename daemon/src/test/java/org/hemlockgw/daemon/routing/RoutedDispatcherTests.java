package org.hemlockgw.daemon.routing;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.Usage;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RoutedDispatcher}.
 */
@Timeout(20)
class RoutedDispatcherTests {

	private static final DispatchResult RESULT = new DispatchResult("hej", Usage.NONE, "stop",
			new EngineLoad("e1", 0, 0, 1, 0, 1, 1, Instant.EPOCH));

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final FakeCluster cluster = new FakeCluster();

	private final FakeDispatcher local = new FakeDispatcher();

	private final FakeDispatcher remote = new FakeDispatcher();

	private final BlockingQueue<CompletableFuture<Void>> releases = new LinkedBlockingQueue<>();

	private final RoutedDispatcher dispatcher = new RoutedDispatcher(this.cluster.lookup(), this.local,
			(address) -> this.remote, (address, engine, program) -> {
				CompletableFuture<Void> taken = new CompletableFuture<>();
				this.releases.add(taken);
				return taken;
			}, this.scheduler, InstantSource.system(), (program, request, hop, event, reason) -> {
			});

	@BeforeEach
	void start() {
		this.cluster.setDispatcher(FakeCluster.FIRST);
		this.cluster.blackboard.control().addListener(this.dispatcher::controlChanged);
	}

	@AfterEach
	void stop() {
		this.scheduler.shutdownNow();
	}

	// Guards against turns that stop with their dispatcher, against engines flooded by
	// daemons that bypass it, and against two attempts with one identifier.
	@Test
	void sendsDirectlyUnderALimitUntilReassigned() throws Exception {
		List<CompletableFuture<DispatchResult>> answers = List.of(dispatch("a1"), dispatch("a2"), dispatch("a3"),
				dispatch("a4"), dispatch("a5"), dispatch("a6"));
		for (FakeDispatcher.Attempt attempt : this.remote.drain()) {
			attempt.fail(CallFailure.mayHaveRun(ErrorCode.OWNER_UNAVAILABLE, "silent"));
		}
		List<FakeDispatcher.Attempt> direct = this.local.drain();
		assertThat(direct.stream().map((attempt) -> attempt.request().attemptId())).containsExactly("a1-direct",
				"a2-direct", "a3-direct", "a4-direct");

		direct.get(0).result().complete(RESULT);
		assertThat(answers.get(0).get()).isEqualTo(RESULT);
		assertThat(this.local.drain().get(0).request().attemptId()).isEqualTo("a5-direct");

		this.cluster.setDispatcher(FakeCluster.SECOND);
		FakeDispatcher.Attempt reassigned = this.remote.drain().get(0);
		reassigned.result().complete(RESULT);
		assertThat(answers.get(5).get()).isEqualTo(RESULT);
	}

	// Guards against tokens that are generated and delivered twice.
	@Test
	void doesNotSendAgainAfterTheFirstToken() throws Exception {
		CompletableFuture<DispatchResult> answer = dispatch("a1");
		FakeDispatcher.Attempt attempt = this.remote.drain().get(0);
		attempt.sink().accept(new CallEvent(0, 1, "h"));
		attempt.fail(CallFailure.mayHaveRun(ErrorCode.OWNER_UNAVAILABLE, "lost"));

		assertThat(failure(answer).code()).isEqualTo(ErrorCode.BACKEND_UNAVAILABLE);
		assertThat(failure(answer).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.local.drain()).isEmpty();
	}

	// Guards against a bypass of a dispatcher that is alive and says that its engine is
	// not.
	@Test
	void passesOnWhatTheDispatcherSays() throws Exception {
		CompletableFuture<DispatchResult> answer = dispatch("a1");
		this.remote.drain().get(0).fail(CallFailure.notRun(ErrorCode.BACKEND_UNAVAILABLE, "leaving"));

		assertThat(failure(answer).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.local.drain()).isEmpty();
	}

	// Guards against engine memory held for ended programs after a lost order.
	@Test
	void releaseIsRepeatedUntilTaken() throws Exception {
		this.dispatcher.releaseSession("e1", FakeCluster.PROGRAM);
		this.releases.take().completeExceptionally(CallFailure.mayHaveRun(ErrorCode.OWNER_UNAVAILABLE, "lost"));
		this.releases.take().complete(null);
	}

	private CompletableFuture<DispatchResult> dispatch(String attemptId) {
		return this.dispatcher.dispatch(new DispatchRequest(FakeCluster.PROGRAM, attemptId, "e1", "m", List.of(), "", 0,
				8, 0, 0, 0, false, Instant.MAX, ""), (event) -> {
				});
	}

	private static CallFailure failure(CompletableFuture<?> future) throws Exception {
		Throwable thrown = future.handle((value, failure) -> failure).get();
		assertThat(thrown).isNotNull();
		return CallFailure.of(thrown);
	}

	/**
	 * Dispatcher whose attempts the test answers.
	 */
	private static final class FakeDispatcher implements Dispatcher {

		private final BlockingQueue<Attempt> attempts = new LinkedBlockingQueue<>();

		List<Attempt> drain() {
			List<Attempt> drained = new ArrayList<>();
			this.attempts.drainTo(drained);
			return drained;
		}

		@Override
		public CompletableFuture<DispatchResult> dispatch(DispatchRequest request, EventSink sink) {
			Attempt attempt = new Attempt(request, sink, new CompletableFuture<>());
			this.attempts.add(attempt);
			return attempt.result();
		}

		@Override
		public void cancel(String engine, String attemptId) {
		}

		@Override
		public void releaseSession(String engine, ProgramId program) {
		}

		private record Attempt(DispatchRequest request, EventSink sink, CompletableFuture<DispatchResult> result) {

			void fail(CallFailure failure) {
				this.result.completeExceptionally(failure);
			}

		}

	}

}

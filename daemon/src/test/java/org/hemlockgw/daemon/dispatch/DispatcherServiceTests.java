package org.hemlockgw.daemon.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.config.BackendKind;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.config.Policy;
import org.hemlockgw.core.dispatch.DispatchRequest;
import org.hemlockgw.core.dispatch.DispatchResult;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.core.platform.EngineChunk;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.Usage;
import org.hemlockgw.daemon.trace.Tracing;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against lost or repeated tokens when a stream breaks, wrong verdicts, work sent
 * to a leaving engine, and cache held for ended programs.
 */
class DispatcherServiceTests {

	private final FakeEngine engine = new FakeEngine();

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);

	private final Blackboard blackboard = Blackboard.create();

	private final Tracing tracing = new Tracing("vm");

	private final DispatcherContext context = new DispatcherContext(this.blackboard, (server) -> this.engine,
			(program, request, hop, event, reason) -> {
			}, this.tracing, this.scheduler, Runnable::run, InstantSource.system(), new MetricRegistry());

	private final CacheReleaser releaser = new CacheReleaser(this.context, () -> true);

	private final DispatcherService dispatcher = new DispatcherService(this.context, this.releaser);

	private final List<String> received = new ArrayList<>();

	@BeforeEach
	void configure() {
		configure(false);
		this.dispatcher.start();
	}

	@AfterEach
	void stop() {
		this.scheduler.shutdownNow();
		this.tracing.close();
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 7 })
	void brokenStreamIsResumedFromItsOffset(int tokensBefore) throws Exception {
		CompletableFuture<DispatchResult> result = dispatch("a1", 10);
		FakeEngine.Stream first = this.engine.started.get(0);
		first.tokens(0, tokensBefore);
		first.end().completeExceptionally(CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED, "connection reset"));
		assertThat(this.engine.resumedFrom).containsExactly((long) tokensBefore);
		FakeEngine.Stream second = this.engine.started.get(1);
		second.tokens(Math.max(0, tokensBefore - 2), 10);
		second.end().complete(last(10));
		assertThat(result.get(5, TimeUnit.SECONDS).text()).isEqualTo("t0 t1 t2 t3 t4 t5 t6 t7 t8 t9 ");
		assertThat(String.join("", this.received)).isEqualTo("t0 t1 t2 t3 t4 t5 t6 t7 t8 t9 ");
	}

	@ParameterizedTest
	@CsvSource({ "NOT_RUN, BACKEND_UNAVAILABLE, BACKEND_FAILED", "MAY_HAVE_RUN, NOT_FOUND, BACKEND_FAILED" })
	void lostStreamIsReportedAsEngineFailure(Verdict verdict, ErrorCode code, ErrorCode expected) {
		this.engine.resumeFailures.add(new CallFailure(code, verdict, "resume failed"));
		CompletableFuture<DispatchResult> result = dispatch("a1", 10);
		this.engine.started.get(0)
			.end()
			.completeExceptionally(CallFailure.mayHaveRun(ErrorCode.BACKEND_FAILED, "connection reset"));
		CallFailure failure = failureOf(result);
		assertThat(failure.code()).isEqualTo(expected);
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	// Guards against memory that grows with an engine that never stops.
	@ParameterizedTest
	@CsvSource({ "10, 10", "11, 10", "1000, 10" })
	void tokensAboveTheRequestedOnesAreRejected(int sent, int expected) {
		CompletableFuture<DispatchResult> unused = dispatch("a1", 10);
		try {
			this.engine.started.get(0).tokens(0, sent);
			assertThat(sent).isEqualTo(expected);
		}
		catch (CallFailure ex) {
			assertThat(sent).isGreaterThan(expected);
			assertThat(ex.code()).isEqualTo(ErrorCode.BACKEND_UNAVAILABLE);
		}
		assertThat(this.received).hasSize(expected);
	}

	@Test
	void queuedRequestsOfLeavingEngineAreHandedBackAsNotRun() {
		List<CompletableFuture<DispatchResult>> results = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			results.add(dispatch("a" + i, 10));
		}
		assertThat(this.engine.started).hasSize(4);
		configure(true);
		assertThat(failureOf(results.get(5)).verdict()).isEqualTo(Verdict.NOT_RUN);
		this.engine.started.get(0).end().complete(last(0));
		assertThat(this.engine.started).hasSize(4);
		assertThat(results.get(0)).isNotEqualTo(null);
		assertThat(failureOf(dispatch("late", 10)).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void engineLeavingByVmListGetsNoNewWork() {
		this.blackboard.vms()
			.set(Map.of("e1", new Vm("e1", "127.0.0.1:1", null, "dc", 1, VmKind.BACKEND, VmState.LEAVING)));
		assertThat(failureOf(dispatch("late", 10)).code()).isEqualTo(ErrorCode.BACKEND_UNAVAILABLE);
		assertThat(this.engine.started).isEmpty();
	}

	@Test
	void deadlineInQueueIsNotRunAndOnEngineMayHaveRun() {
		List<CompletableFuture<DispatchResult>> results = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			results.add(this.dispatcher.dispatch(request("a" + i, 10, Duration.ofMillis(50), false), (event) -> {
			}));
		}
		assertThat(failureOf(results.get(4)).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(failureOf(results.get(0)).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(failureOf(results.get(0)).code()).isEqualTo(ErrorCode.DEADLINE_EXCEEDED);
	}

	@Test
	void twoSuspectsNeverShareAnEngine() {
		this.dispatcher.dispatch(request("s1", 10, Duration.ofSeconds(20), true), (event) -> {
		});
		this.dispatcher.dispatch(request("s2", 10, Duration.ofSeconds(20), true), (event) -> {
		});
		assertThat(this.engine.started).hasSize(1);
		this.engine.started.get(0).end().complete(last(0));
		assertThat(this.engine.started).hasSize(2);
	}

	@Test
	void lostReleaseIsRepeatedUntilTheEngineNoLongerListsTheSession() throws Exception {
		ProgramId program = new ProgramId("acme", "p1");
		this.engine.sessions.add(program.sessionName());
		this.engine.lostReleases = 3;
		this.dispatcher.releaseSession("e1", program);
		// Bound: cache of ended programs is freed within the 5 s of a leaving server.
		Instant bound = Instant.now().plusSeconds(5);
		while (this.releaser.pendingCount() > 0 && Instant.now().isBefore(bound)) {
			Thread.onSpinWait();
		}
		assertThat(this.engine.sessions).isEmpty();
		assertThat(this.releaser.pendingCount()).isEqualTo(0);
	}

	private CompletableFuture<DispatchResult> dispatch(String attempt, int maxTokens) {
		return this.dispatcher.dispatch(request(attempt, maxTokens, Duration.ofSeconds(20), false),
				(event) -> this.received.add(event.text()));
	}

	private static DispatchRequest request(String attempt, int maxTokens, Duration timeout, boolean suspect) {
		return new DispatchRequest(new ProgramId("acme", "p1"), attempt, "e1", "m",
				List.of(new Message("user", "hello")), "", 0, maxTokens, 0, 2, 0, suspect, Instant.now().plus(timeout),
				"");
	}

	private void configure(boolean leaving) {
		BackendServer server = new BackendServer("e1", BackendKind.ENGINE, "127.0.0.1:1", "dc", Set.of("m"), true,
				leaving, 4, 100_000);
		this.blackboard.configuration()
			.set(new Configuration(1, Policy.LATENCY_FIRST, Limits.DEFAULT, Map.of(), Map.of(), Map.of("e1", server)));
	}

	private static EngineChunk last(long offset) {
		return new EngineChunk(offset, 0, "", "stop", new Usage(2, 0, offset));
	}

	private static CallFailure failureOf(CompletableFuture<?> future) {
		return future.handle((value, thrown) -> CallFailure.of(thrown)).orTimeout(5, TimeUnit.SECONDS).join();
	}

}

package org.hemlockgw.daemon.owner;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.MetricRegistry;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.config.Policy;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.dispatch.EngineChoice;
import org.hemlockgw.core.dispatch.EngineQuery;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramView;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * An owner of all shards with fakes around it.
 */
final class OwnerFixture implements AutoCloseable {

	static final List<String> ENGINES = List.of("e1", "e2", "e3");

	private static final int WAIT_S = 10;

	final ExecutorService executor = Executors.newFixedThreadPool(4);

	final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);

	final FakeLedger ledger = new FakeLedger();

	final FakeDispatcher dispatcher = new FakeDispatcher(this.executor);

	final FakeService service = new FakeService(this.executor);

	final Blackboard blackboard = Blackboard.create();

	final List<ControlRecord> control = Collections.synchronizedList(new ArrayList<>());

	final Tracing tracing = new Tracing("test");

	volatile Duration patience = Duration.ofSeconds(WAIT_S);

	volatile Duration clockOffset = Duration.ZERO;

	final OwnerService owner;

	OwnerFixture() {
		this.blackboard.configuration()
			.set(new Configuration(1, Policy.LATENCY_FIRST, Limits.DEFAULT,
					Map.of("a", account("a", 50), "b", account("b", 2)), Map.of(), Map.of()));
		this.owner = new OwnerService(this.ledger, this.dispatcher, OwnerFixture::choose,
				(name) -> name.equals("shop") ? this.service : null, this.blackboard, (record) -> {
					this.control.add(record);
					return CompletableFuture.completedFuture(0L);
				}, (program, request, hop, event, reason) -> {
				}, this.tracing, this.scheduler, this.executor, () -> Instant.now().plus(this.clockOffset),
				new MetricRegistry());
		for (int i = 0; i < ShardId.COUNT; i++) {
			this.owner.startServing(new ShardId(i), 1, Map.of());
		}
	}

	private static ClientAccount account(String name, int maxPrograms) {
		return new ClientAccount(name, 1, Set.of(), 1_000_000, maxPrograms, Set.of("m"), Set.of("shop"));
	}

	private static Optional<EngineChoice> choose(EngineQuery query) {
		return ENGINES.stream()
			.filter((engine) -> !query.excluded().contains(engine))
			.findFirst()
			.map((engine) -> new EngineChoice(engine, 0, "first in the list"));
	}

	ProgramView open(ProgramId id, long budget) {
		return get(this.owner.open(new OpenProgram(id, budget, 65, Duration.ofHours(2))));
	}

	// Adopts what a take-over finds when the previous owner is lost: unsettled grants are
	// spent.
	void adoptAfterLoss(Map<ProgramId, ProgramRecord> programs) {
		programs.forEach((id, r) -> this.owner.startServing(id.shard(), 2,
				Map.of(id,
						new ProgramRecord(r.budget(), r.granted(), r.granted(), r.maxTurns(), r.openedAt(),
								r.expiresAt(), r.lastActivity(), r.state(), r.messages(), r.historyTokens(), r.turns(),
								r.lastStep(), r.engine(), r.outcomes()))));
	}

	CompletableFuture<Answer> turn(ProgramId id, String key, long step, List<Message> messages, int maxTokens) {
		return call(new CallRequest(id, key, step, CallKind.MODEL, "m", true, false, messages, maxTokens, "",
				new byte[0], Instant.now().plus(this.patience), ""));
	}

	CompletableFuture<Answer> append(ProgramId id, String key, long step, String text, int maxTokens) {
		return call(new CallRequest(id, key, step, CallKind.MODEL, "m", true, true, List.of(new Message("user", text)),
				maxTokens, "", new byte[0], Instant.now().plus(this.patience), ""));
	}

	CompletableFuture<Answer> order(ProgramId id, String key, long step, boolean idempotent) {
		return call(new CallRequest(id, key, step, CallKind.SERVICE, "shop", idempotent, false, List.of(), 0, "/order",
				key.getBytes(StandardCharsets.UTF_8), Instant.now().plus(this.patience), ""));
	}

	CompletableFuture<Answer> call(CallRequest request) {
		List<CallEvent> events = Collections.synchronizedList(new ArrayList<>());
		return this.owner.call(request, events::add).thenApply((result) -> new Answer(result, List.copyOf(events)));
	}

	static <T> T get(CompletableFuture<T> future) {
		try {
			return future.get(WAIT_S + 5, TimeUnit.SECONDS);
		}
		catch (ExecutionException ex) {
			throw CallFailure.of(ex);
		}
		catch (InterruptedException | TimeoutException ex) {
			throw new AssertionError(ex);
		}
	}

	static CallFailure failure(CompletableFuture<?> future) {
		try {
			Object value = get(future);
			throw new AssertionError("no failure but " + value);
		}
		catch (CallFailure ex) {
			return ex;
		}
	}

	@Override
	public void close() {
		this.owner.close();
		this.scheduler.shutdownNow();
		this.executor.shutdownNow();
		this.tracing.close();
	}

	/**
	 * What one caller received.
	 */
	record Answer(CallResult result, List<CallEvent> events) {

		/** Text of the events, or a note when an offset was skipped or repeated. */
		String delivered() {
			StringBuilder text = new StringBuilder();
			long next = 0;
			for (CallEvent event : this.events) {
				if (event.offset() != next) {
					return "offset " + event.offset() + " instead of " + next;
				}
				next += event.tokens();
				text.append(event.text());
			}
			return text.toString();
		}

	}

}

package org.hemlockgw.daemon.owner;

import java.io.IOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.control.ControlStreamWriter;
import org.hemlockgw.core.dispatch.Dispatcher;
import org.hemlockgw.core.dispatch.EngineChooser;
import org.hemlockgw.core.explain.RequestEventRecorder;
import org.hemlockgw.core.ledger.Ledger;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Outcome;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.platform.PlainServiceClient;
import org.hemlockgw.core.program.CallEvent;
import org.hemlockgw.core.program.CallKind;
import org.hemlockgw.core.program.CallRequest;
import org.hemlockgw.core.program.CallResult;
import org.hemlockgw.core.program.CallTransitions;
import org.hemlockgw.core.program.EventSink;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramService;
import org.hemlockgw.core.program.ProgramSnapshot;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;
import org.hemlockgw.core.program.RequestDigest;
import org.hemlockgw.core.program.RunningCall;
import org.hemlockgw.core.program.ShardHost;
import org.hemlockgw.core.retry.CrashHistory;
import org.hemlockgw.core.retry.RetryBudget;
import org.hemlockgw.daemon.trace.Tracing;

/**
 * The program owner of this daemon's shards.
 */
public final class OwnerService implements ProgramService, ShardHost, AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long SWEEP_INTERVAL_MS = 1000;

	/**
	 * Delay with which opened and ended programs are confirmed after the ledger reports
	 * an outage.
	 */
	private static final long OUTAGE_POLL_MS = 50;

	private final Map<ShardId, ShardSlot> slots = new ConcurrentHashMap<>();

	private final OwnerContext context;

	private final RecordWriter writer;

	private final CallQueue queue;

	private final AccountPrograms counts = new AccountPrograms();

	private final ProgramLifecycle lifecycle;

	private final ScheduledFuture<?> sweep;

	private final ScheduledFuture<?> outagePoll;

	public OwnerService(Ledger ledger, Dispatcher dispatcher, EngineChooser chooser,
			Function<String, @Nullable PlainServiceClient> services, Blackboard blackboard, ControlStreamWriter control,
			RequestEventRecorder journal, Tracing tracing, ScheduledExecutorService scheduler, Executor executor,
			InstantSource clock, MetricRegistry metrics) {
		this.context = new OwnerContext(ledger, dispatcher, chooser, services, blackboard, control, journal, tracing,
				scheduler, executor, clock, metrics, new RetryBudget(), new CrashHistory(), new Durability(ledger));
		this.writer = new RecordWriter(ledger);
		this.queue = new CallQueue(this.context, this.writer, this::start);
		this.lifecycle = new ProgramLifecycle(this.context, this.writer, this.queue, this.counts);
		this.sweep = scheduler.scheduleWithFixedDelay(() -> executor.execute(this::sweep), SWEEP_INTERVAL_MS,
				SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
		this.outagePoll = scheduler.scheduleWithFixedDelay(this.context.durability()::poll, OUTAGE_POLL_MS,
				OUTAGE_POLL_MS, TimeUnit.MILLISECONDS);
	}

	@Override
	public CompletableFuture<ProgramView> open(OpenProgram command) {
		return operate(command.id(), (slot) -> {
			synchronized (slot) {
				return this.lifecycle.openLocked(slot, command);
			}
		});
	}

	@Override
	public CompletableFuture<ProgramView> get(ProgramId program) {
		return attempt(() -> CompletableFuture.completedFuture(cell(slot(program), program).state().toView()));
	}

	@Override
	public CompletableFuture<ProgramView> end(ProgramId program) {
		return operate(program, (slot) -> {
			synchronized (slot) {
				return this.lifecycle.endLocked(cell(slot, program), ProgramState.ENDED);
			}
		});
	}

	@Override
	public CompletableFuture<CallResult> call(CallRequest request, EventSink sink) {
		return attempt(() -> {
			ShardSlot slot = slot(request.program());
			String digest = RequestDigest.of(request);
			synchronized (slot) {
				return callLocked(slot, request, digest, sink);
			}
		});
	}

	private CompletableFuture<CallResult> callLocked(ShardSlot slot, CallRequest request, String digest,
			EventSink sink) {
		if (slot.dropped()) {
			throw slot.notOwner();
		}
		ProgramCell cell = cell(slot, request);
		LiveCall live = cell.live().get(request.requestId());
		if (live != null) {
			CallTransitions.requireSameDigest(request.requestId(), live.digest(), digest);
			return live.attach(sink, request.deadline());
		}
		CallResult replay = CallTransitions.replay(cell.state(), request.requestId(), digest);
		if (replay != null) {
			return replayedLocked(cell, request, replay, sink);
		}
		if (!cell.state().isRunning()) {
			throw CallFailure.notRun(ErrorCode.PROGRAM_ENDED, "the program is " + cell.state().state());
		}
		requireAllowed(request);
		slot.enter();
		Span span = this.context.tracing().start("owner", request.traceparent());
		LiveCall call = new LiveCall(request, digest, span);
		CompletableFuture<CallResult> result = call.attach(sink, request.deadline());
		this.queue.enqueueLocked(cell, call);
		return result;
	}

	// The result may be known from memory only.
	private CompletableFuture<CallResult> replayedLocked(ProgramCell cell, CallRequest request, CallResult result,
			EventSink sink) {
		CompletableFuture<Void> append = this.writer.stateDurable(cell);
		return ResultRelease.durableBefore(this.context, append, request.deadline()).thenApplyAsync((done) -> {
			if (!result.text().isEmpty()) {
				AnswerStream.send(sink, new CallEvent(0, (int) result.usage().completionTokens(), result.text()));
			}
			return result;
		}, this.context.executor());
	}

	private void requireAllowed(CallRequest request) {
		ClientAccount account = this.context.configuration().clientAccounts().get(request.program().account());
		if (account == null) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND,
					"client account '" + request.program().account() + "' is unknown");
		}
		boolean model = request.kind() == CallKind.MODEL;
		if (!(model ? account.models() : account.services()).contains(request.target())) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND, (model ? "model '" : "plain service '") + request.target()
					+ "' is not available to client account '" + account.name() + "'");
		}
	}

	private void start(ProgramCell cell, LiveCall call, CompletableFuture<Void> append) {
		if (call.request().kind() == CallKind.SERVICE) {
			new ServiceCall(this.context, this.writer, this.queue, cell, call).start(append);
			return;
		}
		ModelTurn turn;
		synchronized (cell.slot()) {
			RunningCall admitted = cell.state().calls().running();
			if (admitted == null || cell.running() != call) {
				return;
			}
			turn = new ModelTurn(this.context, this.writer, this.queue, cell, call, admitted);
		}
		turn.start();
	}

	@Override
	public void startServing(ShardId shard, long epoch, Map<ProgramId, ProgramRecord> programs) {
		stopServing(shard);
		ShardSlot slot = new ShardSlot(shard);
		programs.forEach((id, record) -> {
			ProgramSnapshot state = ProgramSnapshot.restore(id, record);
			slot.programs().put(id, new ProgramCell(slot, state, record.granted()));
			cancelOpen(record);
			if (state.isRunning()) {
				this.counts.add(id.account());
			}
			else {
				state.engines().forEach((engine) -> this.context.dispatcher().releaseSession(engine, id));
			}
		});
		this.slots.put(shard, slot);
	}

	// The previous owner's attempts have no receiver any more.
	private void cancelOpen(ProgramRecord record) {
		for (Outcome outcome : record.outcomes()) {
			for (Dispatched attempt : outcome.open()) {
				this.context.dispatcher().cancel(attempt.engine(), attempt.attemptId());
			}
		}
	}

	@Override
	public CompletableFuture<Void> quiesce(ShardId shard) {
		ShardSlot slot = this.slots.get(shard);
		if (slot == null) {
			return CompletableFuture.completedFuture(null);
		}
		CompletableFuture<Void> drained = slot.quiesce();
		synchronized (slot) {
			for (ProgramCell cell : slot.programs().values()) {
				// Their predecessors may be refused from now on.
				for (LiveCall call : List.copyOf(cell.waiting())) {
					this.queue.failLocked(cell, call, slot.notOwner(), false);
				}
			}
		}
		return drained.thenCompose((done) -> settleGrants(slot)).exceptionally((ex) -> {
			logger.atWarning()
				.log("a successor counts unspent grants of shard %d as spent: %s", shard.value(), ex.getMessage());
			return null;
		});
	}

	// A successor counts the whole grant as spent.
	private CompletableFuture<Void> settleGrants(ShardSlot slot) {
		if (this.context.ledger().isLogUnavailable()) {
			return CompletableFuture.failedFuture(new IOException("the ledger is not available"));
		}
		List<LedgerRecord.OfProgram> records = new ArrayList<>();
		synchronized (slot) {
			for (ProgramCell cell : slot.programs().values()) {
				if (cell.state().isRunning()) {
					records.add(new LedgerRecord.Checkpoint(cell.id(), cell.state().toRecord().withGrantSettled()));
				}
			}
			return this.context.ledger().append(records);
		}
	}

	@Override
	public void stopServing(ShardId shard) {
		ShardSlot slot = this.slots.remove(shard);
		if (slot == null) {
			return;
		}
		synchronized (slot) {
			slot.drop();
			for (ProgramCell cell : slot.programs().values()) {
				if (cell.state().isRunning()) {
					this.counts.remove(cell.id().account());
				}
				this.lifecycle.cancelCallsLocked(cell, ErrorCode.NOT_OWNER, "the shard is no longer served here");
				for (LiveCall call : List.copyOf(cell.live().values())) {
					this.queue.closeLocked(cell, call, null,
							CallFailure.mayHaveRun(ErrorCode.NOT_OWNER, "the shard is no longer served here"));
				}
			}
		}
	}

	@Override
	public Map<ProgramId, ProgramRecord> snapshot(Collection<ShardId> shards) {
		Map<ProgramId, ProgramRecord> records = new HashMap<>();
		for (ShardId shard : shards) {
			ShardSlot slot = this.slots.get(shard);
			if (slot == null) {
				continue;
			}
			// The lock keeps a state from being seen before its records are appended.
			synchronized (slot) {
				for (ProgramCell cell : slot.programs().values()) {
					if (cell.state().isRunning()) {
						records.put(cell.id(), cell.state().toRecord());
					}
				}
			}
		}
		return records;
	}

	void sweep() {
		for (ShardSlot slot : this.slots.values()) {
			synchronized (slot) {
				if (slot.serving()) {
					this.lifecycle.sweepLocked(slot);
				}
			}
		}
	}

	@Override
	public void close() {
		this.sweep.cancel(false);
		this.outagePoll.cancel(false);
	}

	private ShardSlot slot(ProgramId program) {
		ShardSlot slot = this.slots.get(program.shard());
		if (slot == null) {
			throw CallFailure.notRun(ErrorCode.NOT_OWNER, "shard " + program.shard().value() + " is not served here");
		}
		return slot;
	}

	private static ProgramCell cell(ShardSlot slot, ProgramId program) {
		ProgramCell cell = slot.programs().get(program);
		if (cell == null) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND, "program '" + program.name() + "' is unknown");
		}
		return cell;
	}

	// A program that ended long ago is forgotten, and with it whether this key has run.
	private static ProgramCell cell(ShardSlot slot, CallRequest request) {
		if (request.kind() == CallKind.MODEL || request.idempotent()
				|| slot.programs().containsKey(request.program())) {
			return cell(slot, request.program());
		}
		throw CallFailure.mayHaveRun(ErrorCode.NOT_FOUND,
				"program '" + request.program().name() + "' is unknown; it may have ended after this call ran");
	}

	// Counts the operation as open, so that a hand-over waits for its record.
	private CompletableFuture<ProgramView> operate(ProgramId program,
			Function<ShardSlot, CompletableFuture<ProgramView>> operation) {
		return attempt(() -> {
			ShardSlot slot = slot(program);
			slot.enter();
			CompletableFuture<ProgramView> result = attempt(() -> operation.apply(slot));
			return result.whenComplete((view, error) -> slot.exit());
		});
	}

	private static <T> CompletableFuture<T> attempt(Supplier<CompletableFuture<T>> operation) {
		try {
			return operation.get();
		}
		catch (CallFailure ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

}

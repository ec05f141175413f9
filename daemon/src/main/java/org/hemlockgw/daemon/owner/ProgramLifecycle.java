package org.hemlockgw.daemon.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.config.BackendKind;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.config.ClientAccount;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.membership.BackendAvailability;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.program.OpenProgram;
import org.hemlockgw.core.program.ProgramSnapshot;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramTransitions;
import org.hemlockgw.core.program.ProgramView;
import org.hemlockgw.core.program.Transition;
import org.hemlockgw.core.schedule.ProgramAdmission;

/**
 * Opens and ends programs. Methods whose name ends in {@code Locked} are called under the
 * lock of the shard.
 */
final class ProgramLifecycle {

	/** Above this fill of the ledger's buffer, new programs are refused. */
	private static final double MAX_FILL_FOR_NEW = 0.5;

	private static final Duration LOG_RETRY_AFTER = Duration.ofSeconds(2);

	/** Ended programs answer repeats of their calls for this long. */
	private static final Duration ENDED_RETENTION = Duration.ofMinutes(10);

	/** Older loads say nothing about the next call. */
	private static final Duration LOAD_VALIDITY = Duration.ofSeconds(5);

	private final OwnerContext context;

	private final RecordWriter writer;

	private final CallQueue queue;

	private final AccountPrograms counts;

	ProgramLifecycle(OwnerContext context, RecordWriter writer, CallQueue queue, AccountPrograms counts) {
		this.context = context;
		this.writer = writer;
		this.queue = queue;
		this.counts = counts;
	}

	CompletableFuture<ProgramView> openLocked(ShardSlot slot, OpenProgram command) {
		ProgramCell existing = slot.programs().get(command.id());
		if (existing != null) {
			if (!existing.state().matches(command)) {
				throw CallFailure.notRun(ErrorCode.IDEMPOTENCY_CONFLICT,
						"program '" + command.id().name() + "' was opened with other parameters");
			}
			return view(existing, existing.opened());
		}
		ClientAccount account = account(command.id());
		ProgramTransitions.checkLimits(command, account, this.context.configuration().limits());
		requireLog();
		ProgramCell parent = parent(slot, command.id());
		if (parent == null) {
			requireEngines(account);
		}
		ProgramSnapshot before = (parent != null) ? parent.state() : null;
		ProgramTransitions.Opening opening = ProgramTransitions.open(command, before, this.context.now());
		if (!this.counts.tryAdd(account.name(), account.maxPrograms())) {
			throw CallFailure.notRun(ErrorCode.LIMIT_REACHED, "client account '" + account.name()
					+ "' may have at most " + account.maxPrograms() + " programs under way");
		}
		ProgramCell cell = new ProgramCell(slot, opening.opened(), 0);
		slot.programs().put(command.id(), cell);
		List<RecordWriter.Change> changes = new ArrayList<>();
		changes.add(new RecordWriter.Change(cell, null, opening.opened()));
		if (parent != null && opening.parent() != null) {
			changes.add(new RecordWriter.Change(parent, before, opening.parent()));
		}
		CompletableFuture<Void> append = this.writer.apply(changes, opening.records());
		cell.opened(append);
		this.context.count("programs.opened");
		return view(cell, append);
	}

	private ClientAccount account(ProgramId id) {
		ClientAccount account = this.context.configuration().clientAccounts().get(id.account());
		if (account == null) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND, "client account '" + id.account() + "' is unknown");
		}
		return account;
	}

	private void requireLog() {
		double fill = this.context.ledger().bufferFillRatio();
		if (fill > MAX_FILL_FOR_NEW) {
			throw new CallFailure(ErrorCode.LOG_UNAVAILABLE, Verdict.NOT_RUN,
					"no new programs while more than half of the buffer of log records is used", LOG_RETRY_AFTER);
		}
	}

	// An engine whose load is not known lately counts as free.
	private void requireEngines(ClientAccount account) {
		Map<String, EngineLoad> known = this.context.blackboard().engineLoads().get();
		Map<String, Vm> vms = this.context.blackboard().vms().get();
		Instant oldest = this.context.now().minus(LOAD_VALIDITY);
		List<EngineLoad> loads = new ArrayList<>();
		for (BackendServer server : this.context.configuration().backendServers().values()) {
			boolean serves = server.kind() == BackendKind.ENGINE && BackendAvailability.acceptsWork(server, vms)
					&& !Collections.disjoint(server.models(), account.models());
			if (!serves) {
				continue;
			}
			EngineLoad load = known.get(server.name());
			if (load == null || load.observedAt().isBefore(oldest)) {
				return;
			}
			loads.add(load);
		}
		Duration wait = ProgramAdmission.retryAfter(loads).orElse(null);
		if (wait != null) {
			throw new CallFailure(ErrorCode.OVERLOADED, Verdict.NOT_RUN,
					"every engine for the models of client account '" + account.name() + "' is full", wait);
		}
	}

	private static @Nullable ProgramCell parent(ShardSlot slot, ProgramId id) {
		ProgramId parentId = ProgramTransitions.parent(id);
		if (parentId == null) {
			return null;
		}
		ProgramCell parent = slot.programs().get(parentId);
		if (parent == null) {
			throw CallFailure.notRun(ErrorCode.NOT_FOUND, "parent program '" + parentId.name() + "' is unknown");
		}
		return parent;
	}

	// Ends a program and its children.
	CompletableFuture<ProgramView> endLocked(ProgramCell cell, ProgramState to) {
		if (!cell.state().isRunning()) {
			return view(cell, CompletableFuture.completedFuture(null));
		}
		CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
		for (ProgramCell each : tree(cell)) {
			last = endOneLocked(each, to);
		}
		return view(cell, last);
	}

	private CompletableFuture<Void> endOneLocked(ProgramCell cell, ProgramState to) {
		cancelCallsLocked(cell, ErrorCode.PROGRAM_ENDED, "the program was ended");
		ProgramSnapshot before = cell.state();
		Transition ended = ProgramTransitions.end(before, to, this.context.now());
		List<RecordWriter.Change> changes = new ArrayList<>();
		changes.add(new RecordWriter.Change(cell, before, ended.state()));
		List<LedgerRecord.OfProgram> records = new ArrayList<>(ended.records());
		ProgramId parentId = ProgramTransitions.parent(cell.id());
		ProgramCell parent = (parentId != null) ? cell.slot().programs().get(parentId) : null;
		if (parent != null && parent.state().isRunning()) {
			Transition refund = ProgramTransitions.refund(parent.state(), ended.state());
			changes.add(new RecordWriter.Change(parent, parent.state(), refund.state()));
			records.addAll(refund.records());
		}
		CompletableFuture<Void> append = this.writer.apply(changes, records);
		this.counts.remove(cell.id().account());
		this.context.count("programs.ended");
		ended.state().engines().forEach((engine) -> this.context.dispatcher().releaseSession(engine, cell.id()));
		return append;
	}

	// Cancels the calls of a program, the waiting ones first so that none is admitted.
	void cancelCallsLocked(ProgramCell cell, ErrorCode code, String message) {
		List<LiveCall> waiting = List.copyOf(cell.waiting());
		cell.waiting().clear();
		for (LiveCall call : waiting) {
			this.queue.cancelLocked(cell, call, code, message);
		}
		LiveCall running = cell.running();
		if (running != null) {
			ErrorCode cause = (code == ErrorCode.PROGRAM_ENDED) ? ErrorCode.CANCELLED : code;
			this.queue.cancelLocked(cell, running, cause, message);
		}
	}

	// The program and its live descendants, deepest first.
	private static List<ProgramCell> tree(ProgramCell cell) {
		String prefix = cell.id().name() + ".";
		List<ProgramCell> cells = new ArrayList<>(cell.slot()
			.programs()
			.values()
			.stream()
			.filter((other) -> other.id().account().equals(cell.id().account()) && other.id().name().startsWith(prefix)
					&& other.state().isRunning())
			.sorted(Comparator.comparingInt((ProgramCell other) -> other.id().depth()).reversed())
			.toList());
		cells.add(cell);
		return cells;
	}

	// Ends expired and idle programs and forgets programs that ended long ago.
	void sweepLocked(ShardSlot slot) {
		Instant now = this.context.now();
		Limits limits = this.context.configuration().limits();
		Collection<ProgramCell> cells = List.copyOf(slot.programs().values());
		for (ProgramCell cell : cells) {
			ProgramSnapshot state = cell.state();
			if (!state.isRunning()) {
				if (now.isAfter(state.lastActivity().plus(ENDED_RETENTION))) {
					slot.programs().remove(cell.id());
				}
				continue;
			}
			boolean idle = cell.live().isEmpty() && tree(cell).size() == 1
					&& ProgramTransitions.isIdle(state, limits.idleTimeout(), now);
			if (idle || !now.isBefore(state.expiresAt())) {
				endLocked(cell, ProgramState.EXPIRED);
				this.context.count("programs.expired");
			}
		}
	}

	private CompletableFuture<ProgramView> view(ProgramCell cell, CompletableFuture<Void> append) {
		return this.context.durability().settled(append).thenApply((done) -> cell.state().toView());
	}

}

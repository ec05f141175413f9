package org.hemlockgw.daemon.control;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.config.BackendKind;
import org.hemlockgw.core.control.ControlRecord;
import org.hemlockgw.core.control.ControlRecord.ClaimEngines;
import org.hemlockgw.core.control.ControlRecord.ClaimShards;
import org.hemlockgw.core.control.ControlRecord.Draining;
import org.hemlockgw.core.control.ControlRecord.ReleaseEngines;
import org.hemlockgw.core.control.ControlRecord.ReleaseShards;
import org.hemlockgw.core.control.ControlRecord.Started;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.ControlStreamWriter;
import org.hemlockgw.core.control.Ownership;
import org.hemlockgw.core.membership.Assignment;
import org.hemlockgw.core.membership.OwnershipPlan;
import org.hemlockgw.core.program.ShardHost;
import org.hemlockgw.daemon.ledger.CurrentLedger;
import org.hemlockgw.daemon.ledger.LedgerReader;
import org.hemlockgw.daemon.ledger.LedgerWriter;

/**
 * Claims, takes over and releases shards and engines, so that this daemon holds what the
 * assignment gives it. Each step follows from the state read back from the control
 * stream, so a lost or repeated append only costs time.
 */
public final class ControlController implements ControlStreamWriter {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long TICK_MS = 1000;

	private final ControlStream stream;

	private final CurrentLedger ledger;

	private final ShardHost host;

	private final Blackboard board;

	private final Supplier<String> ids;

	private final ScheduledExecutorService scheduler;

	private final InstantSource clock;

	private final AtomicBoolean driveQueued = new AtomicBoolean();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private final Object lock = new Object();

	/** Shards that the host serves, with the epoch of the claim. */
	private final Map<ShardId, Long> serving = new TreeMap<>();

	private final TakeOvers takeOvers;

	private final Set<ShardId> quiescing = new HashSet<>();

	private final Set<ShardId> quiesced = new HashSet<>();

	private final Set<Incarnation> earlier = new HashSet<>();

	private volatile Incarnation self;

	private Gates gates;

	/** Whether the start of the incarnation was read back. */
	private boolean started;

	private boolean draining;

	private boolean stopped;

	private @Nullable Assignment assignment;

	private @Nullable ScheduledFuture<?> ticks;

	/**
	 * Creates a controller.
	 * @param stream the control stream
	 * @param ledger the own ledger, which names the first incarnation
	 * @param reader reads ledgers of predecessors
	 * @param host the program owner
	 * @param board blackboard
	 * @param ids creates unique identifiers of further incarnations
	 * @param scheduler runs all work
	 * @param clock source of record times
	 */
	public ControlController(ControlStream stream, CurrentLedger ledger, LedgerReader reader, ShardHost host,
			Blackboard board, Supplier<String> ids, ScheduledExecutorService scheduler, InstantSource clock) {
		this.stream = stream;
		this.ledger = ledger;
		this.host = host;
		this.board = board;
		this.ids = ids;
		this.scheduler = scheduler;
		this.clock = clock;
		this.self = ledger.writer().incarnation();
		this.gates = Gates.create(this.lock);
		this.takeOvers = new TakeOvers(reader, this, this.lock, this::driveSoon);
	}

	/** Starts to read the control stream and to act on it. */
	public void start() {
		watch(this.ledger.writer());
		this.board.control().addListener((state) -> driveSoon());
		this.board.vms().addListener((vms) -> driveSoon());
		this.board.configuration().addListener((configuration) -> driveSoon());
		this.stream.start();
		synchronized (this.lock) {
			this.ticks = this.scheduler.scheduleWithFixedDelay(this::driveSoon, TICK_MS, TICK_MS,
					TimeUnit.MILLISECONDS);
		}
	}

	/** Stops all activity without a release. */
	public void stop() {
		this.stream.stop();
		synchronized (this.lock) {
			this.stopped = true;
			if (this.ticks != null) {
				this.ticks.cancel(false);
			}
		}
	}

	/**
	 * Returns the incarnation of this daemon, which changes when it was reported down.
	 * @return the current incarnation
	 */
	public Incarnation incarnation() {
		return this.self;
	}

	@Override
	public CompletableFuture<Long> append(ControlRecord record) {
		return this.stream.append(record);
	}

	/**
	 * Releases all shards, each after its last open call, and then all engines.
	 * @return completes when the releases are read back, which takes until its end in a
	 * log outage
	 */
	public CompletableFuture<Void> drainAll() {
		synchronized (this.lock) {
			this.draining = true;
		}
		driveSoon();
		return this.drained;
	}

	private void driveSoon() {
		if (this.driveQueued.compareAndSet(false, true)) {
			this.scheduler.execute(() -> {
				this.driveQueued.set(false);
				drive();
			});
		}
	}

	private void drive() {
		synchronized (this.lock) {
			if (this.stopped) {
				return;
			}
			ControlState state = this.board.control().get();
			if (!this.self.equals(state.incarnations().get(this.self.vm()))) {
				notCurrent(state);
				return;
			}
			this.started = true;
			dropLost(state);
			adoptCompleted(state);
			if (this.draining && OwnershipPlan.releaseAll(this.self, state).isEmpty()) {
				this.drained.complete(null);
			}
			if (this.stream.current() && !this.ledger.isLogUnavailable()) {
				change(state);
			}
		}
	}

	private void change(ControlState state) {
		forgetTaken(state);
		this.assignment = Assignment.of(state, this.board.vms().get().values(), this.assignment);
		OwnershipPlan plan = this.draining ? OwnershipPlan.releaseAll(this.self, state)
				: OwnershipPlan.of(this.self, state, this.board.vms().get(), this.assignment, engines());
		if (this.draining && !state.draining().contains(this.self.vm())) {
			// Without this notice the assignment keeps giving the released shards to this
			// daemon,
			// and their calls wait until its last open call has ended.
			this.gates.draining()
				.tryAppend(state.offset(), () -> append(new Draining(this.self, this.clock.instant())));
		}
		if (!this.draining) {
			this.takeOvers.start(state, this.self, this.ledger.writer());
		}
		this.takeOvers.complete(state, this.self);
		release(state, plan);
		if (!plan.claimShards().isEmpty()) {
			this.gates.claimShards()
				.tryAppend(state.offset(),
						() -> append(new ClaimShards(this.self, plan.claimShards(), this.clock.instant())));
		}
		if (!plan.claimEngines().isEmpty()) {
			this.gates.claimEngines()
				.tryAppend(state.offset(),
						() -> append(new ClaimEngines(this.self, plan.claimEngines(), this.clock.instant())));
		}
	}

	private void notCurrent(ControlState state) {
		Incarnation current = state.incarnations().get(this.self.vm());
		if (this.draining) {
			dropAll();
			this.drained.complete(null);
			return;
		}
		if (this.started) {
			dropAll();
			if (current != null && !this.earlier.contains(current)) {
				// Either a newer process of this VM, or a start that the log applied
				// late. The
				// monitors report the latter down, because this process answers for it.
				return;
			}
			renew();
		}
		if (this.stream.current()) {
			this.gates.started().tryAppend(state.offset(), () -> append(new Started(this.self, this.clock.instant())));
		}
	}

	private void renew() {
		this.earlier.add(this.self);
		Incarnation next = new Incarnation(this.self.vm(), this.ids.get());
		logger.atWarning().log("incarnation %s was reported down; continuing as %s", this.self.id(), next.id());
		this.self = next;
		this.started = false;
		this.gates = Gates.create(this.lock);
		watch(this.ledger.renew(next));
	}

	private void watch(LedgerWriter writer) {
		writer.addSealListener((shards) -> this.scheduler.execute(() -> onSealed(writer, shards)));
		writer.start();
	}

	// The claim may not have been read yet, so the seal is the first sign of the loss.
	private void onSealed(LedgerWriter writer, Set<ShardId> shards) {
		synchronized (this.lock) {
			if (writer == this.ledger.writer()) {
				shards.forEach(this::drop);
			}
		}
	}

	private void drop(ShardId shard) {
		if (this.serving.remove(shard) != null) {
			this.host.stopServing(shard);
		}
		this.quiescing.remove(shard);
		this.quiesced.remove(shard);
		this.takeOvers.abandon(shard);
	}

	private void dropAll() {
		Set.copyOf(this.serving.keySet()).forEach(this::drop);
		this.takeOvers.abandonAll();
	}

	private void dropLost(ControlState state) {
		for (Map.Entry<ShardId, Long> entry : List.copyOf(this.serving.entrySet())) {
			if (!held(state.shardOwnership(entry.getKey()), entry.getValue())) {
				drop(entry.getKey());
			}
		}
		this.takeOvers.abandonLost(state, this.self);
	}

	private boolean held(Ownership holder, long epoch) {
		return this.self.equals(holder.incarnation()) && holder.epoch() == epoch;
	}

	// The host serves a shard only after the completion was read back. Until then a
	// successor would fold the ledgers of the predecessors and miss what it wrote.
	private void adoptCompleted(ControlState state) {
		this.takeOvers.removeCompleted(state).forEach((shard, programs) -> {
			long epoch = state.shardOwnership(shard).epoch();
			this.serving.put(shard, epoch);
			this.host.startServing(shard, epoch, programs);
		});
	}

	private void forgetTaken(ControlState state) {
		LedgerWriter writer = this.ledger.writer();
		Set<ShardId> gone = new HashSet<>(writer.openShards());
		gone.removeIf((shard) -> state.shardOwnership(shard).unsealed().contains(this.self));
		if (!gone.isEmpty()) {
			writer.forget(gone);
		}
	}

	private void release(ControlState state, OwnershipPlan plan) {
		Map<ShardId, Long> due = new TreeMap<>();
		plan.releaseShards().forEach((shard, epoch) -> {
			if (this.serving.containsKey(shard)) {
				quiesce(shard);
			}
			else if (this.draining && !state.shardOwnership(shard).ready()) {
				drop(shard);
				due.put(shard, epoch);
			}
		});
		this.quiesced.forEach((shard) -> due.put(shard, state.shardOwnership(shard).epoch()));
		if (!due.isEmpty()) {
			this.gates.releaseShards().tryAppend(state.offset(), () -> append(new ReleaseShards(this.self, due)));
		}
		boolean shardsFirst = this.draining && !plan.releaseShards().isEmpty();
		if (!plan.releaseEngines().isEmpty() && !shardsFirst) {
			this.gates.releaseEngines()
				.tryAppend(state.offset(), () -> append(new ReleaseEngines(this.self, plan.releaseEngines())));
		}
	}

	private void quiesce(ShardId shard) {
		if (!this.quiescing.add(shard)) {
			return;
		}
		long epoch = this.serving.getOrDefault(shard, 0L);
		this.host.quiesce(shard).whenComplete((done, thrown) -> {
			synchronized (this.lock) {
				if (this.quiescing.contains(shard) && this.serving.getOrDefault(shard, 0L) == epoch) {
					this.quiesced.add(shard);
				}
			}
			driveSoon();
		});
	}

	private Map<String, String> engines() {
		Map<String, String> engines = new HashMap<>();
		this.board.configuration().get().backendServers().values().forEach((server) -> {
			if (server.kind() == BackendKind.ENGINE) {
				engines.put(server.name(), server.dataCentre());
			}
		});
		return engines;
	}

}

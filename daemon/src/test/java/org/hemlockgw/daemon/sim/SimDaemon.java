package org.hemlockgw.daemon.sim;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.OfProgram;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerRecord.ProgramRecord;
import org.hemlockgw.core.membership.PeerStatus;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.program.ShardHost;
import org.hemlockgw.daemon.control.ControlController;
import org.hemlockgw.daemon.control.ControlStream;
import org.hemlockgw.daemon.control.MonitorController;
import org.hemlockgw.daemon.ledger.CurrentLedger;
import org.hemlockgw.daemon.ledger.LedgerReader;
import org.hemlockgw.daemon.ledger.LedgerSettings;
import org.hemlockgw.daemon.ledger.LedgerWriter;
import org.hemlockgw.wire.codec.ProtobufControlCodec;
import org.hemlockgw.wire.codec.ProtobufLedgerCodec;

/**
 * One daemon with the real controllers and a program owner that writes intents.
 */
public final class SimDaemon implements ShardHost {

	/** Shards that the program owner serves now. */
	public final Map<ShardId, Long> serving = new TreeMap<>();

	public final Blackboard board = Blackboard.create();

	public final SimProcess process;

	public final ControlController controller;

	private final Set<ProgramId> opened = new HashSet<>();

	final Set<ShardId> quiescing = new HashSet<>();

	private final Map<ShardId, Integer> open = new HashMap<>();

	private final SimCluster cluster;

	private final CurrentLedger ledger;

	private boolean reachable = true;

	SimDaemon(SimCluster cluster, String vm) {
		this.cluster = cluster;
		this.process = new SimProcess(cluster.simulation);
		LedgerSettings settings = LedgerSettings.DEFAULT.withCheckpointInterval(Duration.ofSeconds(3));
		ProtobufLedgerCodec codec = new ProtobufLedgerCodec();
		var log = cluster.log.client(this.process);
		this.ledger = new CurrentLedger(new Incarnation(vm, cluster.nextId()),
				(by) -> new LedgerWriter(log, codec, by, settings, this.process, cluster.simulation));
		ControlStream stream = new ControlStream(log, new ProtobufControlCodec(), this.board.control(), this.process,
				cluster.simulation);
		this.controller = new ControlController(stream, this.ledger,
				new LedgerReader(log, codec, settings, this.process), this, this.board, cluster::nextId, this.process,
				cluster.simulation);
		this.controller.start();
		new MonitorController(this::probe, this.board, this.controller, this.controller::incarnation, stream::current,
				this.process, cluster.simulation)
			.start();
		this.process.scheduleAtFixedRate(this::load, 20, 20, TimeUnit.MILLISECONDS);
	}

	public void pause(Duration time) {
		this.process.pause();
		this.reachable = false;
		this.cluster.simulation.after(time.toNanos(), () -> {
			this.reachable = true;
			this.process.resume();
		});
	}

	public void crash() {
		this.reachable = false;
		this.process.crash();
	}

	private CompletableFuture<PeerStatus> probe(Vm vm) {
		SimDaemon peer = this.cluster.daemons.get(vm.name());
		if (peer == null || !peer.reachable) {
			return CompletableFuture
				.failedFuture(CallFailure.mayHaveRun(ErrorCode.OWNER_UNAVAILABLE, "no answer to a heartbeat"));
		}
		return CompletableFuture.completedFuture(new PeerStatus(peer.controller.incarnation(), 0));
	}

	private void load() {
		for (ProgramId program : SimCluster.PROGRAMS) {
			Long epoch = this.serving.get(program.shard());
			if (epoch != null && !this.quiescing.contains(program.shard())) {
				write(program, epoch);
			}
		}
	}

	private void write(ProgramId program, long epoch) {
		var now = this.cluster.simulation.instant();
		if (this.opened.add(program)) {
			this.ledger.append(List.of(new Opened(program, 1000, 100, 65, now.plusSeconds(99), now)));
		}
		String request = "r" + this.cluster.nextId();
		OfProgram intent = new Intent(program, request, "digest", 0, "service", now);
		this.open.merge(program.shard(), 1, Integer::sum);
		this.ledger.append(List.of(intent)).whenComplete((done, thrown) -> {
			this.open.merge(program.shard(), -1, Integer::sum);
			if (thrown == null) {
				this.cluster.checker.acknowledge(program, request, epoch);
			}
		});
	}

	@Override
	public void startServing(ShardId shard, long epoch, Map<ProgramId, ProgramRecord> programs) {
		this.cluster.checker.adopt(this.controller.incarnation(), shard, epoch, programs);
		this.serving.put(shard, epoch);
		this.quiescing.remove(shard);
		this.opened.removeIf((program) -> program.shard().equals(shard));
		this.opened.addAll(programs.keySet());
	}

	@Override
	public CompletableFuture<Void> quiesce(ShardId shard) {
		this.quiescing.add(shard);
		CompletableFuture<Void> quiet = new CompletableFuture<>();
		awaitQuiet(shard, quiet);
		return quiet;
	}

	private void awaitQuiet(ShardId shard, CompletableFuture<Void> quiet) {
		if (this.open.getOrDefault(shard, 0) == 0) {
			quiet.complete(null);
			return;
		}
		this.process.schedule(() -> awaitQuiet(shard, quiet), 10, TimeUnit.MILLISECONDS);
	}

	@Override
	public void stopServing(ShardId shard) {
		this.serving.remove(shard);
		this.quiescing.remove(shard);
	}

	@Override
	public Map<ProgramId, ProgramRecord> snapshot(Collection<ShardId> shards) {
		return Map.of();
	}

}

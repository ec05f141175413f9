package org.hemlockgw.daemon.sim;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.ShardId;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.ControlStateBuilder;
import org.hemlockgw.core.membership.Vm;
import org.hemlockgw.core.membership.VmKind;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.wire.codec.ProtobufControlCodec;

/**
 * Several simulated daemons over one log.
 */
public final class SimCluster {

	/** Programs whose owners write intents. */
	public static final List<ProgramId> PROGRAMS = IntStream.range(0, 8)
		.mapToObj((i) -> new ProgramId("account", "p" + i))
		.toList();

	public final Simulation simulation = new Simulation();

	public final SimLog log;

	final Map<String, SimDaemon> daemons = new TreeMap<>();

	final OwnershipChecker checker = new OwnershipChecker();

	private final Map<String, Vm> vms = new TreeMap<>();

	private int ids;

	public SimCluster(long seed) {
		this.log = new SimLog(this.simulation, seed);
	}

	String nextId() {
		return "i" + this.ids++;
	}

	/**
	 * Starts a daemon, or starts it again after a crash.
	 * @param name name of its VM
	 */
	public void start(String name) {
		listVm(name, VmState.LIVE);
		this.daemons.put(name, new SimDaemon(this, name));
		publishVms();
	}

	public SimDaemon daemon(String name) {
		return Objects.requireNonNull(this.daemons.get(name), name);
	}

	public void crash(String name) {
		daemon(name).crash();
		this.daemons.remove(name);
	}

	public void listVm(String name, VmState state) {
		this.vms.put(name, new Vm(name, "127.0.0.1:1", null, "dc", 1.0, VmKind.ENTRY, state));
		publishVms();
	}

	public void removeVm(String name) {
		this.vms.remove(name);
		publishVms();
	}

	public int takeOvers() {
		return this.checker.takeOvers;
	}

	public int acknowledgements() {
		return this.checker.acknowledgements;
	}

	/**
	 * Tells whether each shard is served by exactly one daemon, as the control stream
	 * says, and none is about to be released.
	 * @return true when no change is pending
	 */
	public boolean settled() {
		Map<ShardId, Integer> servers = new HashMap<>();
		ControlState state = state();
		for (SimDaemon daemon : this.daemons.values()) {
			if (!daemon.quiescing.isEmpty()) {
				return false;
			}
			daemon.serving.keySet().forEach((shard) -> {
				if (daemon.controller.incarnation().equals(state.shardOwnership(shard).incarnation())) {
					servers.merge(shard, 1, Integer::sum);
				}
				else {
					servers.put(shard, 99);
				}
			});
		}
		return servers.size() == ShardId.COUNT && servers.values().stream().allMatch((count) -> count == 1);
	}

	public boolean settleWithin(Duration bound) {
		for (long i = 0; i < bound.toMillis(); i += 200) {
			if (settled()) {
				return true;
			}
			this.simulation.runFor(Duration.ofMillis(200));
		}
		return settled();
	}

	public ControlState state() {
		ControlStateBuilder fold = new ControlStateBuilder(ControlState.EMPTY);
		ProtobufControlCodec codec = new ProtobufControlCodec();
		this.log.records("control")
			.forEach((record) -> fold.apply(record.offset(), record.time(), codec.decode(record.data())));
		return fold.state();
	}

	private void publishVms() {
		this.daemons.values().forEach((daemon) -> daemon.board.vms().set(Map.copyOf(this.vms)));
	}

}

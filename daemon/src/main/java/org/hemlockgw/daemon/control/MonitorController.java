package org.hemlockgw.daemon.control;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.control.ControlRecord.Down;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.control.ControlStreamWriter;
import org.hemlockgw.core.membership.MonitorSelection;
import org.hemlockgw.core.membership.PeerProbe;
import org.hemlockgw.core.membership.Vm;

/**
 * Sends heartbeats to the daemons that this one monitors and reports those that are
 * silent.
 */
public final class MonitorController {

	/** Time between heartbeats to one daemon. */
	public static final long HEARTBEAT_MS = 400;

	/** Silence after which a daemon is reported down: five heartbeats. */
	public static final Duration DOWN_AFTER = Duration.ofSeconds(2);

	private static final int MISSED_HEARTBEATS = 5;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final PeerProbe probe;

	private final Blackboard board;

	private final ControlStreamWriter control;

	private final Supplier<Incarnation> self;

	private final BooleanSupplier logCurrent;

	private final ScheduledExecutorService scheduler;

	private final InstantSource clock;

	private final Object lock = new Object();

	private Map<Incarnation, Target> targets = new HashMap<>();

	private @Nullable ScheduledFuture<?> beats;

	private volatile @Nullable Chosen chosen;

	/**
	 * Creates a controller.
	 * @param probe sends heartbeats
	 * @param board blackboard
	 * @param control takes the reports
	 * @param self the own incarnation
	 * @param logCurrent whether this daemon hears from the log; one that does not may
	 * itself be the unreachable one and reports nobody
	 * @param scheduler runs all work
	 * @param clock measures silence
	 */
	public MonitorController(PeerProbe probe, Blackboard board, ControlStreamWriter control, Supplier<Incarnation> self,
			BooleanSupplier logCurrent, ScheduledExecutorService scheduler, InstantSource clock) {
		this.probe = probe;
		this.board = board;
		this.control = control;
		this.self = self;
		this.logCurrent = logCurrent;
		this.scheduler = scheduler;
		this.clock = clock;
	}

	/** Starts to send heartbeats. */
	public void start() {
		synchronized (this.lock) {
			this.beats = this.scheduler.scheduleAtFixedRate(this::beat, HEARTBEAT_MS, HEARTBEAT_MS,
					TimeUnit.MILLISECONDS);
		}
	}

	/** Stops sending heartbeats. */
	public void stop() {
		synchronized (this.lock) {
			if (this.beats != null) {
				this.beats.cancel(false);
			}
		}
	}

	private void beat() {
		ControlState state = this.board.control().get();
		Map<Incarnation, Vm> wanted = wanted(state, this.board.vms().get());
		Instant now = this.clock.instant();
		synchronized (this.lock) {
			Map<Incarnation, Target> next = new HashMap<>();
			wanted.keySet()
				.forEach((incarnation) -> next.put(incarnation,
						this.targets.getOrDefault(incarnation, new Target(now, 0))));
			this.targets = next;
		}
		wanted.forEach((incarnation, vm) -> beat(incarnation, vm, now));
	}

	// Choosing the targets grows with the square of the daemons: 203 ms of processor time
	// at
	// 350 daemons, which is half a core when done for each heartbeat.
	private Map<Incarnation, Vm> wanted(ControlState state, Map<String, Vm> vms) {
		Incarnation own = this.self.get();
		Chosen last = this.chosen;
		if (last != null && last.by().equals(own) && last.vms().equals(vms)
				&& last.incarnations().equals(state.incarnations())) {
			return last.targets();
		}
		Map<Incarnation, Vm> targets = new HashMap<>();
		for (Vm vm : MonitorSelection.targetsOf(own.vm(), state, vms.values())) {
			Incarnation current = state.incarnations().get(vm.name());
			if (current != null) {
				targets.put(current, vm);
			}
		}
		this.chosen = new Chosen(own, vms, state.incarnations(), Map.copyOf(targets));
		return targets;
	}

	private void beat(Incarnation incarnation, Vm vm, Instant now) {
		synchronized (this.lock) {
			Target target = this.targets.getOrDefault(incarnation, new Target(now, 0));
			if (target.silent(now)) {
				report(incarnation, now);
				target = new Target(now, 0);
			}
			this.targets.put(incarnation, new Target(target.heard, target.missed + 1));
		}
		this.probe.probe(vm).thenAccept((status) -> {
			synchronized (this.lock) {
				if (this.targets.containsKey(status.incarnation())) {
					this.targets.put(status.incarnation(), new Target(this.clock.instant(), 0));
				}
			}
		});
	}

	private void report(Incarnation incarnation, Instant now) {
		if (!this.logCurrent.getAsBoolean()) {
			return;
		}
		logger.atWarning().log("no heartbeat from %s for %d ms", incarnation, DOWN_AFTER.toMillis());
		Down down = new Down(incarnation, this.self.get().vm(), "no heartbeat for " + DOWN_AFTER.toMillis() + " ms",
				now);
		this.control.append(down).exceptionally((thrown) -> {
			logger.atWarning().log("report of %s failed: %s", incarnation, thrown.getMessage());
			return -1L;
		});
	}

	/**
	 * What is known of a monitored daemon.
	 *
	 * @param heard time of its last answer, or of the first heartbeat
	 * @param missed heartbeats since, by which a pause of the monitor itself is told from
	 * a silent daemon
	 */
	private record Target(Instant heard, int missed) {

		boolean silent(Instant now) {
			return this.missed >= MISSED_HEARTBEATS && Duration.between(this.heard, now).compareTo(DOWN_AFTER) >= 0;
		}

	}

	/**
	 * Chosen targets and what they were chosen from.
	 *
	 * @param by the monitoring incarnation
	 * @param vms the VM list
	 * @param incarnations incarnations by VM
	 * @param targets what to monitor
	 */
	private record Chosen(Incarnation by, Map<String, Vm> vms, Map<String, Incarnation> incarnations,
			Map<Incarnation, Vm> targets) {
	}

}

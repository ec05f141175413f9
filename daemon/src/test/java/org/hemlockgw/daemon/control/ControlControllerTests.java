package org.hemlockgw.daemon.control;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.control.ControlState;
import org.hemlockgw.core.membership.VmState;
import org.hemlockgw.daemon.sim.SimCluster;
import org.hemlockgw.daemon.sim.SimDaemon;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ControlControllerTests {

	private static final List<String> NAMES = List.of("vm1", "vm2", "vm3", "vm4");

	/** A successor has to be found within the 2 s of silence and a few log calls. */
	private static final Duration TAKE_OVER_BOUND = Duration.ofSeconds(5);

	// Guards against two holders of one epoch, and against acknowledged intents that a
	// successor misses, over crashes, pauses, log outages, faults and VMs that leave. The
	// checks are in the simulated program owners.
	@Property(seed = "51", tries = 30, shrinking = ShrinkingMode.OFF)
	void oneHolderPerEpochAndNoLostIntents(@ForAll @IntRange(max = 1_000_000) int seed) {
		SimCluster cluster = new SimCluster(seed);
		Random random = new Random(seed);
		NAMES.forEach(cluster::start);
		cluster.simulation.runFor(Duration.ofSeconds(3));
		cluster.log.faults = random.nextDouble() * 0.3;
		for (int i = 0; i < 20; i++) {
			disturb(cluster, random);
			cluster.simulation.runFor(Duration.ofMillis(200 + random.nextInt(2000)));
		}
		cluster.log.faults = 0;
		cluster.log.outage = false;
		NAMES.forEach((name) -> cluster.listVm(name, VmState.LIVE));
		cluster.simulation.runFor(Duration.ofSeconds(10));
		assertWithMessage("settled").that(cluster.settleWithin(Duration.ofSeconds(30))).isTrue();
		assertThat(cluster.acknowledgements()).isGreaterThan(1000);
	}

	private static void disturb(SimCluster cluster, Random random) {
		String name = NAMES.get(random.nextInt(NAMES.size()));
		SimDaemon daemon = cluster.daemon(name);
		switch (random.nextInt(6)) {
			case 0 -> {
				cluster.crash(name);
				cluster.start(name);
			}
			case 1 -> daemon.pause(Duration.ofMillis(random.nextInt(8000)));
			case 2 -> {
				cluster.log.outage = true;
				cluster.simulation.after(Duration.ofMillis(random.nextInt(6000)).toNanos(),
						() -> cluster.log.outage = false);
			}
			case 3 -> cluster.listVm(name, VmState.LEAVING);
			case 4 -> cluster.removeVm(name);
			default -> NAMES.forEach((other) -> cluster.listVm(other, VmState.LIVE));
		}
	}

	// Guards against a crash that leaves shards without an owner for longer than stated.
	@Example
	void shardsOfACrashedDaemonAreTakenOver() {
		SimCluster cluster = settledCluster();
		cluster.crash("vm2");
		assertThat(cluster.settleWithin(TAKE_OVER_BOUND)).isTrue();
		assertThat(cluster.state().incarnations()).doesNotContainKey("vm2");
	}

	// Guards against a shutdown that leaves shards to the slower failure detection.
	@Example
	void drainReleasesEverythingAndOthersTakeOver() {
		SimCluster cluster = settledCluster();
		CompletableFuture<Void> drained = cluster.daemon("vm3").controller.drainAll();
		assertThat(cluster.simulation.runUntil(drained::isDone, TAKE_OVER_BOUND)).isTrue();
		assertThat(cluster.daemon("vm3").serving).isEmpty();
		cluster.crash("vm3");
		cluster.removeVm("vm3");
		assertThat(cluster.settleWithin(TAKE_OVER_BOUND)).isTrue();
	}

	// Guards against owners that move, and daemons reported down, because the log is out.
	@Example
	void ownershipDoesNotChangeInALogOutage() {
		SimCluster cluster = settledCluster();
		ControlState before = cluster.state();
		cluster.log.outage = true;
		cluster.simulation.runFor(Duration.ofSeconds(10));
		cluster.listVm("vm1", VmState.LEAVING);
		cluster.simulation.runFor(Duration.ofSeconds(60));
		assertThat(cluster.settled()).isTrue();
		assertThat(cluster.state()).isEqualTo(before);
		cluster.listVm("vm1", VmState.LIVE);
		cluster.log.outage = false;
		cluster.simulation.runFor(Duration.ofSeconds(10));
		assertThat(cluster.state().incarnations()).isEqualTo(before.incarnations());
		assertThat(cluster.settled()).isTrue();
	}

	// Guards against a daemon that goes on under an incarnation that others have
	// replaced.
	@Example
	void daemonThatWasReportedDownContinuesAsANewIncarnation() {
		SimCluster cluster = settledCluster();
		SimDaemon paused = cluster.daemon("vm4");
		Incarnation before = paused.controller.incarnation();
		paused.pause(Duration.ofSeconds(8));
		cluster.simulation.runFor(Duration.ofSeconds(7));
		assertThat(cluster.state().incarnations()).doesNotContainKey("vm4");
		cluster.simulation.runFor(Duration.ofSeconds(2));
		assertThat(cluster.settleWithin(TAKE_OVER_BOUND)).isTrue();
		assertThat(paused.controller.incarnation()).isNotEqualTo(before);
		assertThat(paused.serving).isNotEmpty();
	}

	private static SimCluster settledCluster() {
		SimCluster cluster = new SimCluster(7);
		NAMES.forEach(cluster::start);
		cluster.simulation.runFor(Duration.ofSeconds(3));
		assertThat(cluster.settleWithin(Duration.ofSeconds(10))).isTrue();
		return cluster;
	}

}

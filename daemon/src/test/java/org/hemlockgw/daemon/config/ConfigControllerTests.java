package org.hemlockgw.daemon.config;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.config.ConfigCodec;
import org.hemlockgw.core.config.ConfigPatch;
import org.hemlockgw.core.config.ConfigSnapshot;
import org.hemlockgw.core.config.ConfigState;
import org.hemlockgw.core.config.ConfigStreamReader;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.platform.InMemoryLog;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ConfigControllerTests {

	// Stated target: an accepted version is in force everywhere within 8 s.
	private static final long TARGET_MS = 8000;

	private final InMemoryLog log = new InMemoryLog();

	private final Blackboard blackboard = Blackboard.create();

	private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(2);

	private final List<Long> versions = new CopyOnWriteArrayList<>();

	private ConfigController controller = controller(this.log,
			() -> CompletableFuture.failedFuture(new Exception("none")));

	@BeforeTry
	void recordVersions() {
		this.blackboard.configuration().addListener((configuration) -> this.versions.add(configuration.version()));
	}

	@AfterTry
	void close() {
		this.controller.close();
		this.executor.shutdownNow();
		assertWithMessage("versions in force only grow").that(this.versions).isInStrictOrder();
	}

	// Guards against a daemon that becomes ready before it knows the stream, or misses
	// later patches.
	@Example
	void followsTheStreamFromItsLatestSnapshot() throws Exception {
		patch(0);
		patch(1);
		this.log.append(ConfigStreamReader.NAME, ConfigCodec.encode(state().toSnapshot())).join();
		this.log.expireBefore(2);
		this.controller.start();
		Configuration first = this.controller.awaitFirst().get(TARGET_MS, TimeUnit.MILLISECONDS);
		assertThat(first.version()).isEqualTo(2);
		assertThat(this.blackboard.configuration().get().version()).isEqualTo(2);
		patch(2);
		await(() -> this.blackboard.configuration().get().version() == 3);
	}

	// Guards against a controller that stops after an outage, or after a connection that
	// went silent without an error.
	@Example
	void catchesUpAfterOutageAndSilence() {
		patch(0);
		this.controller.start();
		await(() -> this.controller.version() == 1);
		this.log.setOutage(true);
		await(() -> this.log.waitingReads() == 0);
		int failed = this.log.failedReads();
		await(() -> this.log.failedReads() > failed + 2);
		assertThat(this.blackboard.configuration().get().version()).isEqualTo(1);
		this.log.setOutage(false);
		patch(1);
		await(() -> this.controller.version() == 2);
		this.log.setUnresponsive(true);
		await(() -> this.log.waitingReads() == 0);
		patch(2);
		this.log.setUnresponsive(false);
		await(() -> this.controller.version() == 3);
	}

	// Guards against an unusable start during a log outage, and against going back when
	// the log answers with less than the peer knew.
	@Example
	void startsFromAPeerAndNeverGoesBack() throws Exception {
		InMemoryLog shorter = new InMemoryLog();
		shorter.append(ConfigStreamReader.NAME, data(0)).join();
		shorter.setOutage(true);
		patch(0);
		patch(1);
		ConfigSnapshot newer = state().toSnapshot();
		this.controller = controller(shorter, () -> CompletableFuture.completedFuture(newer));
		this.controller.start();
		assertThat(this.controller.awaitFirst().get(TARGET_MS, TimeUnit.MILLISECONDS).version()).isEqualTo(2);
		shorter.setOutage(false);
		shorter.append(ConfigStreamReader.NAME, data(1)).join();
		shorter.append(ConfigStreamReader.NAME, data(2)).join();
		await(() -> this.controller.version() == 3);
	}

	// Guards against a daemon that stays behind during a log outage although a peer knows
	// the newer version.
	@Example
	void asksAPeerWhenItIsBehindAndTheLogIsDown() {
		patch(0);
		InMemoryLog behind = new InMemoryLog();
		behind.append(ConfigStreamReader.NAME, data(0)).join();
		patch(1);
		ConfigSnapshot newer = state().toSnapshot();
		this.controller = controller(behind, () -> CompletableFuture.completedFuture(newer));
		this.controller.start();
		await(() -> this.controller.version() == 1);
		behind.setOutage(true);
		this.controller.onPeerVersion(1);
		assertThat(this.controller.version()).isEqualTo(1);
		this.controller.onPeerVersion(2);
		await(() -> this.blackboard.configuration().get().version() == 2);
	}

	// Guards against a reader that is stuck when records expired before it read them.
	@Example
	void startsAgainFromASnapshotWhenRecordsExpiredUnread() {
		patch(0);
		this.controller.start();
		await(() -> this.controller.version() == 1);
		this.log.setUnresponsive(true);
		// A long poll from before would still deliver the next record.
		await(() -> this.log.waitingReads() == 0);
		InMemoryLog copy = new InMemoryLog();
		for (long base = 0; base < 3; base++) {
			copy.append(ConfigStreamReader.NAME, data(base)).join();
		}
		patch(1);
		patch(2);
		ConfigSnapshot snapshot = new ConfigStreamReader(copy).load().join().toSnapshot();
		this.log.append(ConfigStreamReader.NAME, ConfigCodec.encode(snapshot)).join();
		this.log.expireBefore(3);
		this.log.setUnresponsive(false);
		await(() -> this.controller.version() == 3);
	}

	private ConfigController controller(InMemoryLog source, PeerConfiguration peers) {
		return new ConfigController(source, this.blackboard, this.executor, Instant::now, peers);
	}

	private ConfigState state() {
		return new ConfigStreamReader(this.log).load().join();
	}

	private void patch(long base) {
		this.log.append(ConfigStreamReader.NAME, data(base)).join();
	}

	private static byte[] data(long base) {
		ObjectNode patch = JsonNodeFactory.instance.objectNode();
		patch.putObject("limits").put("max_turns", base + 1);
		return ConfigCodec.encode(new ConfigPatch("p" + base, base, "author", "reason", patch));
	}

	private static void await(BooleanSupplier condition) {
		long deadline = System.nanoTime() + Duration.ofMillis(TARGET_MS).toNanos();
		while (!condition.getAsBoolean()) {
			assertWithMessage("condition holds within %s ms", TARGET_MS).that(System.nanoTime()).isLessThan(deadline);
			Thread.onSpinWait();
		}
	}

}

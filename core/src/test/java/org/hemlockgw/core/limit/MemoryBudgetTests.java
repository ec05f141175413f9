package org.hemlockgw.core.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.hemlockgw.core.limit.ClientMemory.Phase;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link MemoryBudget}.
 */
class MemoryBudgetTests {

	private static final int SMALL = 1000;

	private static final int LARGE = 10_000;

	private long nowNanos = 1;

	private final MemoryBudget budget = new MemoryBudget(SMALL, LARGE, () -> this.nowNanos,
			() -> ProgressLimits.of(Duration.ofSeconds(3), Duration.ofSeconds(15)));

	private final ConnectionGroup group = new ConnectionGroup(4);

	private final List<Client> closed = new ArrayList<>();

	MemoryBudgetTests() {
		this.budget.add(this.group);
	}

	// Guards against a small request that is refused because others hold all memory
	// without progress, and against closing connections that make progress.
	@Test
	void stalledConnectionIsClosedForSmallRequest() {
		Client stalled = open(Phase.BODY);
		Client active = open(Phase.BODY);
		Client next = open(Phase.BODY);
		assertThat(this.budget.reserve(stalled.memory(), 400)).isTrue();
		assertThat(this.budget.reserve(active.memory(), 600)).isTrue();
		assertThat(this.budget.reserve(next.memory(), 10)).isFalse();
		for (int step = 0; step < 4; step++) {
			this.budget.recordReceived(active.memory(), ProgressLimits.MIN_BODY_BYTES_PER_S);
			pass(500);
		}
		assertThat(this.budget.reserve(next.memory(), 10)).isTrue();
		assertThat(this.closed).containsExactly(stalled);
		assertThat(this.budget.closedCount(CloseCause.MEMORY)).isEqualTo(1);
	}

	// Guards against large bodies that take more than their part, and against waiting
	// for a body that never ends.
	@Test
	void largeBodyWaitsUntilStalledOneIsClosed() {
		Client stalled = open(Phase.BODY);
		Client waiting = open(Phase.BODY);
		assertThat(this.budget.reserveLarge(stalled.memory(), LARGE)).isTrue();
		assertThat(this.budget.reserveLarge(waiting.memory(), LARGE)).isFalse();
		assertThat(waiting.memory().isWaiting()).isTrue();
		assertThat(this.budget.reserve(waiting.memory(), SMALL)).isTrue();
		pass(500);
		pass(500);
		pass(500);
		assertThat(this.closed).containsExactly(stalled);
		assertThat(waiting.decisions).containsExactly(true);
		assertThat(this.budget.heldBytes()).isEqualTo(LARGE + SMALL);
	}

	// Guards against a body that waits without end while others make progress.
	@Test
	void overdueWaitingBodyIsRefused() {
		Client active = open(Phase.BODY);
		Client waiting = open(Phase.BODY);
		assertThat(this.budget.reserveLarge(active.memory(), LARGE)).isTrue();
		assertThat(this.budget.reserveLarge(waiting.memory(), 1)).isFalse();
		for (int step = 0; step < 12; step++) {
			this.budget.recordReceived(active.memory(), ProgressLimits.MIN_BODY_BYTES_PER_S);
			pass(500);
		}
		assertThat(waiting.decisions).containsExactly(false);
		assertThat(this.closed).isEmpty();
		assertThat(this.budget.refusedCount()).isEqualTo(1);
	}

	// Guards against waiting for memory that there never is.
	@Test
	void bodyLargerThanAllMemoryIsRefusedAtOnce() {
		Client client = open(Phase.BODY);
		assertThat(this.budget.reserveLarge(client.memory(), LARGE + 1)).isFalse();
		assertThat(client.memory().isWaiting()).isFalse();
	}

	// Guards against time limits that do not apply, and against limits that a client
	// within them meets.
	@ParameterizedTest
	@CsvSource({ "HEAD, 0, 2, false", "HEAD, 0, 4, true", "BODY, 0, 14, false", "BODY, 0, 16, true",
			"BODY, 100, 300, true", "BODY, 20000, 100, false", "NEW, 0, 100, false", "IDLE, 0, 100, false",
			"ANSWERING, 0, 100, false" })
	void overdueRequestIsClosed(Phase phase, int bytesPerS, int seconds, boolean isClosed) {
		Client client = open(phase);
		for (int step = 0; step < 2 * seconds; step++) {
			this.budget.recordReceived(client.memory(), bytesPerS / 2);
			pass(500);
		}
		assertThat(this.closed.contains(client)).isEqualTo(isClosed);
	}

	// Guards against a caller that never reads its response, and against closing one
	// that reads slowly.
	@ParameterizedTest
	@CsvSource({ "0, true", "1, false" })
	void callerThatDoesNotReadIsClosed(int readBytes, boolean isClosed) {
		Client client = open(Phase.ANSWERING);
		client.unsent = 1000;
		for (int step = 0; step < 40; step++) {
			client.unsent -= readBytes;
			pass(500);
		}
		assertThat(this.closed.contains(client)).isEqualTo(isClosed);
	}

	// Guards against descriptors that run out, against closing the connection of a
	// request in progress, and against closing a connection that sends its request while
	// others are unused.
	@Test
	void fullPortClosesUnusedConnectionsBeforeThoseThatSend() {
		ConnectionGroup port = new ConnectionGroup(7);
		this.budget.add(port);
		Client stalled = open(port, Phase.HEAD);
		pass(500);
		pass(500);
		Client idleForLonger = open(port, Phase.IDLE);
		pass(500);
		Client progressing = open(port, Phase.BODY);
		Client slow = open(port, Phase.HEAD);
		Client unused = open(port, Phase.NEW);
		Client idle = open(port, Phase.IDLE);
		Client answering = open(port, Phase.ANSWERING);
		this.budget.recordReceived(progressing.memory(), 1_000_000);
		pass(500);
		for (int count = 0; count < 6; count++) {
			open(port, Phase.ANSWERING);
		}
		assertThat(this.closed).containsExactly(stalled, idleForLonger, idle, unused, slow, progressing).inOrder();
		assertThat(this.budget.open(port, new Client())).isNull();
		assertThat(answering.memory().closed).isFalse();
	}

	// Guards against connections that are accepted in one pass and close each other
	// before any of them could send a request.
	@Test
	void acceptedConnectionsDoNotCloseEachOther() {
		for (int count = 0; count < 4; count++) {
			open(Phase.NEW);
		}
		pass(299);
		assertThat(this.budget.open(this.group, new Client())).isNull();
		assertThat(this.closed).isEmpty();
		pass(1);
		assertThat(this.budget.open(this.group, new Client())).isNotNull();
		assertThat(this.closed).hasSize(1);
	}

	// Guards against closing a caller whose response was unread for less than 1 s.
	@Test
	void fullPortKeepsCallerThatPausedShortly() {
		Client paused = open(Phase.ANSWERING);
		paused.unsent = 1000;
		open(Phase.ANSWERING);
		open(Phase.ANSWERING);
		open(Phase.ANSWERING);
		pass(500);
		pass(500);
		pass(500);
		assertThat(this.budget.open(this.group, new Client())).isNull();
		pass(500);
		assertThat(this.budget.open(this.group, new Client())).isNotNull();
		assertThat(this.closed).containsExactly(paused);
	}

	// Guards against closing a connection whose request runs, or whose response is read,
	// because a response takes much memory.
	@Test
	void responseClosesNoConnectionWhoseRequestRuns() {
		Client running = open(Phase.ANSWERING);
		Client reading = open(Phase.ANSWERING);
		Client sending = open(Phase.BODY);
		assertThat(this.budget.reserve(running.memory(), 500)).isTrue();
		assertThat(this.budget.reserve(sending.memory(), 300)).isTrue();
		this.budget.charge(reading.memory(), 600);
		assertThat(this.closed).containsExactly(sending);
		this.budget.charge(reading.memory(), 600);
		assertThat(this.closed).containsExactly(sending);
	}

	// Guards against memory that is counted twice or never released.
	@Property(tries = 200, seed = "20261206")
	void nothingIsHeldWhenAllConnectionsAreClosed(@ForAll long seed) {
		Random random = new Random(seed);
		MemoryBudget tested = new MemoryBudget(SMALL, LARGE, () -> this.nowNanos,
				() -> ProgressLimits.of(Duration.ofSeconds(3), Duration.ofSeconds(15)));
		ConnectionGroup connections = new ConnectionGroup(20);
		tested.add(connections);
		List<ClientMemory> opened = new ArrayList<>();
		for (int step = 0; step < 300; step++) {
			ClientMemory added = (random.nextInt(4) == 0) ? tested.open(connections, new Client()) : null;
			if (added != null) {
				opened.add(added);
			}
			if (opened.isEmpty()) {
				continue;
			}
			ClientMemory memory = opened.get(random.nextInt(opened.size()));
			switch (random.nextInt(7)) {
				case 0 -> tested.reserve(memory, random.nextInt(300));
				case 1 -> tested.charge(memory, random.nextInt(300));
				case 2 -> tested.release(memory, random.nextInt(300));
				case 3 -> {
					if (!memory.isWaiting()) {
						tested.reserveLarge(memory, 1 + random.nextInt(LARGE));
					}
				}
				case 4 -> tested.releaseLarge(memory, random.nextInt(LARGE));
				case 5 -> tested.enter(memory, Phase.values()[random.nextInt(Phase.values().length)]);
				default -> {
					this.nowNanos += TimeUnit.MILLISECONDS.toNanos(random.nextInt(700));
					tested.check();
				}
			}
			assertThat(tested.heldBytes()).isAtLeast(0L);
			assertThat(connections.size()).isAtMost(20);
		}
		opened.forEach(tested::remove);
		assertThat(tested.heldBytes()).isEqualTo(0);
		assertThat(tested.waitingCount()).isEqualTo(0);
		assertThat(connections.size()).isEqualTo(0);
	}

	private void pass(long ms) {
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(ms);
		this.budget.check();
	}

	private Client open(Phase phase) {
		return open(this.group, phase);
	}

	private Client open(ConnectionGroup port, Phase phase) {
		Client client = new Client();
		client.opened = this.budget.open(port, client);
		this.budget.enter(client.memory(), phase);
		return client;
	}

	private final class Client implements ClientMemory.Owner {

		private final List<Boolean> decisions = new ArrayList<>();

		private long unsent;

		private @Nullable ClientMemory opened;

		ClientMemory memory() {
			ClientMemory current = this.opened;
			if (current == null) {
				throw new AssertionError("the connection was not opened");
			}
			return current;
		}

		@Override
		public void close(CloseCause cause) {
			MemoryBudgetTests.this.closed.add(this);
		}

		@Override
		public void largeBodyDecided(boolean granted) {
			this.decisions.add(granted);
		}

		@Override
		public long unsentBytes() {
			return this.unsent;
		}

	}

}

package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the slots, memory and queue entries that {@link PoolScheduler} accounts for.
 */
class SlotAccountingTests {

	private long nowMs;

	private final PoolScheduler scheduler = new PoolScheduler(() -> this.nowMs * 1_000_000);

	private final List<String> granted = new ArrayList<>();

	private final List<String> refused = new ArrayList<>();

	// Guards against a slot that stays occupied because a second grant with the same
	// identifier replaced the first one.
	@Test
	void repeatedRequestReleasesItsFirstSlot() {
		update("s1", "s2");
		submit("a", "d1");
		submit("a", "d1");
		this.scheduler.release("a", 1, false);
		submit("b", "d1");
		submit("c", "d1");
		assertThat(this.granted).containsExactly("a", "a", "b", "c").inOrder();
	}

	// Guards against a queued request that is dropped without an answer when it is sent
	// again.
	@Test
	void repeatedQueuedRequestIsAnswered() {
		update("s1");
		submit("x", "d1");
		submit("a", "d1");
		submit("a", "d1");
		assertThat(this.refused).containsExactly("a");
		assertThat(this.scheduler.queued()).isEqualTo(1);
	}

	// Guards against a second slot for a request that another scheduler has served.
	@Test
	void restoredGrantLeavesQueue() {
		update("s1");
		submit("x", "d1");
		submit("a", "d1");
		this.scheduler.restoreGrant(request("a", "d1", 0), "s1");
		assertThat(this.scheduler.queued()).isEqualTo(0);
	}

	// Guards against slots that are granted to the requests of a daemon that has failed.
	@Test
	void failedDaemonReceivesNoSlots() {
		update("s1");
		submit("a", "d1");
		submit("b", "d1");
		submit("c", "d2");
		this.scheduler.releaseAll("d1");
		assertThat(this.granted).containsExactly("a", "c").inOrder();
	}

	// Guards against a request that needs much memory and is passed by small ones until
	// its deadline.
	@Test
	void largeRequestIsNotPassedForever() {
		update(4, "s1");
		this.scheduler.setMemoryTokens(1000);
		submit(request("small0", "d1", 400));
		submit(request("small1", "d1", 400));
		submit(request("large", "d1", 900));
		for (int i = 2; i < 60 && !this.granted.contains("large"); i++) {
			submit(request("small" + i, "d1", 400));
			this.nowMs += 10;
			this.scheduler.release("small" + (i - 2), 1, false);
		}
		assertThat(this.granted).contains("large");
	}

	// Guards against requests that declare more tokens than an engine has and then block
	// the memory of others.
	@Test
	void declaredTokensCountAtMostAsMemory() {
		PoolServer server = new PoolServer(member("s1", 4));
		server.occupy(request("a", "d1", Integer.MAX_VALUE), 1000);
		assertThat(server.runningTokens()).isEqualTo(1000);
		server.release("a");
		assertThat(server.runningTokens()).isEqualTo(0);
	}

	// Guards against small requests that wait behind one that doesn't fit into any
	// server's memory at the moment.
	@Test
	void smallRequestIsGrantedBesideWaitingLargeOne() {
		update(4, "s1");
		this.scheduler.setMemoryTokens(1000);
		submit(request("a", "d1", 500));
		submit(request("large", "d1", 900));
		this.scheduler.submit(new SlotRequest("new", "d1", "", "", 0, false, Long.MAX_VALUE, 4, 3000, List.of(), 100,
				Set.of(), Set.of()), (answer) -> record("new", answer));
		assertThat(this.granted).containsExactly("a", "new").inOrder();
	}

	// Guards against deadlines that overflow in nanoseconds and expire at once.
	@Test
	void hugeDeadlineDoesNotExpire() {
		update("s1");
		this.scheduler.submit(new SlotRequest("a", "d1", "", "", 0, true, 1_000_000_000_000_000L, 250,
				10_000_000_000_000L, List.of(), 0, Set.of(), Set.of()), (answer) -> record("a", answer));
		this.nowMs += 10;
		this.scheduler.expireOverdue();
		assertThat(this.scheduler.inFlight()).isEqualTo(1);
	}

	// Guards against requests that are held until their deadline although no server is
	// left for them.
	@Test
	void queuedRequestWithoutServerIsRefused() {
		update("s1");
		submit("a", "d1");
		submit("b", "d1");
		update();
		this.scheduler.expireOverdue();
		assertThat(this.refused).containsExactly("b");
	}

	// Guards against estimates that are learned from a part of a request's time.
	@Test
	void restoredGrantDoesNotChangeEstimates() {
		update("s1");
		for (int i = 0; i < 60; i++) {
			this.scheduler.restoreGrant(request("r" + i, "d1", 0), "s1");
			this.nowMs += 10_000;
			this.scheduler.release("r" + i, 1, false);
		}
		submit("a", "d1");
		submit("b", "d1");
		assertThat(this.refused).isEmpty();
	}

	private void update(String... ids) {
		update(1, ids);
	}

	private void update(int slots, String... ids) {
		List<PoolMember> members = new ArrayList<>();
		for (String id : ids) {
			members.add(member(id, slots));
		}
		this.scheduler.updateServers(members);
	}

	private static PoolMember member(String id, int slots) {
		return new PoolMember(id, "pool", "127.0.0.1:1", "a", slots, false, 0);
	}

	private void submit(String id, String holder) {
		submit(request(id, holder, 0));
	}

	private void submit(SlotRequest request) {
		this.scheduler.submit(request, (answer) -> record(request.id(), answer));
	}

	private void record(String id, SlotDecision answer) {
		((answer.serverId() != null) ? this.granted : this.refused).add(id);
	}

	private static SlotRequest request(String id, String holder, int maxTokens) {
		return new SlotRequest(id, holder, "", "", 0, true, Long.MAX_VALUE, 250, 3000, List.of(), maxTokens, Set.of(),
				Set.of());
	}

}

package org.hemlockgw.core.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PoolScheduler}.
 */
class PoolSchedulerTests {

	private long nowMs;

	private final PoolScheduler scheduler = new PoolScheduler(() -> this.nowMs * 1_000_000);

	private final Map<String, SlotDecision> answers = new HashMap<>();

	private final List<String> granted = new ArrayList<>();

	// Guards against sending a server more concurrent requests than it has slots.
	@Test
	void serverReceivesAtMostItsSlots() {
		this.scheduler.updateServers(List.of(member("s1", 2, false)));
		submit("a", 0, true);
		submit("b", 0, true);
		submit("c", 0, true);
		assertThat(this.granted).containsExactly("a", "b").inOrder();
		this.scheduler.release("a", 1, false);
		assertThat(this.granted).containsExactly("a", "b", "c").inOrder();
	}

	// Guards against new programs that overtake started ones and against requests of low
	// priority that overtake requests of higher priority.
	@Test
	void ordersByStartedProgramThenPriorityThenArrival() {
		this.scheduler.updateServers(List.of(member("s1", 1, false)));
		submit("first", 0, true);
		submit("new-low", 1, false);
		submit("new-high", 0, false);
		submit("running-low", 1, true);
		submit("running-high", 0, true);
		for (String completed : List.of("first", "running-high", "running-low", "new-high")) {
			this.scheduler.release(completed, 1, false);
		}
		assertThat(this.granted).containsExactly("first", "running-high", "running-low", "new-high", "new-low")
			.inOrder();
	}

	// Guards against programs that become late because they wait behind others that are
	// late already.
	@Test
	void lateProgramsAreServedBehindOthers() {
		this.scheduler.updateServers(List.of(member("s1", 1, false)));
		submit("first", 0, true);
		submit("new", 0, false);
		submitWithProgramTime("late", -1);
		submitWithProgramTime("in-time", 1);
		submitWithProgramTime("unknown", Long.MAX_VALUE);
		for (String completed : List.of("first", "in-time", "unknown", "late")) {
			this.scheduler.release(completed, 1, false);
		}
		assertThat(this.granted).containsExactly("first", "in-time", "unknown", "late", "new").inOrder();
	}

	// Guards against new programs that wait for a slot until nothing is left of their
	// objective of 250 ms.
	@ParameterizedTest
	@CsvSource({ "true, 61, true", "true, 63, false", "false, 249, true", "false, 251, false" })
	void newProgramWaitsForQuarterOfObjective(boolean turn, long waitedMs, boolean waiting) {
		this.scheduler.updateServers(List.of(member("s1", 20, false)));
		for (int i = 0; i < 20; i++) {
			submit("a" + i, 0, true);
		}
		List<PromptPart> prompt = turn ? List.of(new PromptPart("p", 10)) : List.of();
		this.scheduler.submit(request("new", 0, false, prompt, Set.of()), (answer) -> this.answers.put("new", answer));
		this.nowMs += waitedMs;
		this.scheduler.expireOverdue();
		assertThat(this.answers.containsKey("new")).isEqualTo(!waiting);
	}

	// Guards against sending new or queued requests to servers that are draining or no
	// longer listed.
	@ParameterizedTest
	@CsvSource({ "true", "false" })
	void drainingOrMissingServerReceivesNoNewRequests(boolean listed) {
		this.scheduler.updateServers(List.of(member("s1", 1, false)));
		submit("a", 0, true);
		submit("b", 0, true);
		this.scheduler.updateServers(listed ? List.of(member("s1", 1, true)) : List.of());
		this.scheduler.release("a", 1, false);
		assertThat(this.granted).containsExactly("a");
		this.scheduler.updateServers(List.of(member("s2", 1, false)));
		assertThat(server("b")).isEqualTo("s2");
	}

	// Guards against queueing a request for the only server when that server has already
	// failed it, and against a retry delay that is longer than a full server needs to
	// free
	// a slot.
	@ParameterizedTest
	@CsvSource({ "none, 1000, no server", "draining, 1000, no server", "failed, 100, no server is left to try" })
	void requestWithoutAvailableServerIsRefusedImmediately(String only, long retryAfterMs, String reason) {
		if (!only.equals("none")) {
			this.scheduler.updateServers(List.of(member("s1", 1, only.equals("draining"))));
		}
		this.scheduler.submit(request("a", 0, true, List.of(), only.equals("failed") ? Set.of("s1") : Set.of()),
				(answer) -> this.answers.put("a", answer));
		assertThat(this.answers.get("a")).isEqualTo(SlotDecision.refused(retryAfterMs, reason));
	}

	// Guards against queueing new programs until they miss their objective. Started
	// programs may wait until the deadline of their caller.
	@Test
	void newProgramIsRefusedWhenExpectedWaitExceedsObjective() {
		this.scheduler.updateServers(List.of(member("s1", 1, false)));
		submit("a", 0, true);
		for (int i = 0; i < 5; i++) {
			submit("running" + i, 0, true);
		}
		submit("new", 0, false);
		assertThat(server("new")).isEqualTo("none");
		assertThat(this.answers.getOrDefault("new", SlotDecision.refused(0, "")).retryAfterMs()).isGreaterThan(0);
		assertThat(this.answers).doesNotContainKey("running4");
	}

	@Test
	void queuedRequestIsRefusedAfterMaximumWait() {
		this.scheduler.updateServers(List.of(member("s1", 1, false)));
		submit("a", 0, true);
		submit("b", 0, true);
		this.nowMs += 3001;
		this.scheduler.expireOverdue();
		assertThat(server("b")).isEqualTo("none");
	}

	@Test
	void serverWithCachedPromptIsPreferred() {
		this.scheduler.updateServers(List.of(member("s1", 4, false), member("s2", 4, false)));
		List<PromptPart> prompt = List.of(new PromptPart("p", 20_000));
		this.scheduler.submit(request("a", 0, true, prompt, Set.of()), (answer) -> this.answers.put("a", answer));
		String first = server("a");
		for (int i = 0; i < 3; i++) {
			String id = "n" + i;
			this.scheduler.submit(request(id, 0, true, prompt, Set.of()), (answer) -> this.answers.put(id, answer));
			assertThat(server(id)).isEqualTo(first);
		}
	}

	// Guards against new connections to servers although one to an equally good server is
	// open, and against servers that are overloaded because connections to them are open.
	@ParameterizedTest
	@CsvSource({ "0, s2", "1, s2", "6, s1" })
	void connectedServerIsPreferredUnlessItIsBusier(int busySlots, String expected) {
		this.scheduler.updateServers(List.of(member("s1", 8, false), member("s2", 8, false)));
		for (int i = 0; i < busySlots; i++) {
			this.scheduler.restoreGrant(request("b" + i, 0, true, List.of(), Set.of()), "s2");
		}
		this.scheduler.submit(new SlotRequest("a", "daemon", "", "", 0, true, Long.MAX_VALUE, 250, 3000, List.of(), 0,
				Set.of(), Set.of("s2")), (answer) -> this.answers.put("a", answer));
		assertThat(server("a")).isEqualTo(expected);
	}

	// Guards against work that accumulates on a slow server while faster servers have
	// free
	// slots.
	@Test
	void slowServerIsSelectedLast() {
		this.scheduler.updateServers(List.of(member("fast", 4, false), member("slow", 4, false)));
		for (int round = 0; round < 30; round++) {
			this.scheduler.submit(request("f" + round, 0, true, List.of(), Set.of("slow")), (answer) -> {
			});
			this.scheduler.submit(request("s" + round, 0, true, List.of(), Set.of("fast")), (answer) -> {
			});
			this.nowMs += 50;
			this.scheduler.release("f" + round, 1, false);
			this.nowMs += 200;
			this.scheduler.release("s" + round, 1, false);
		}
		submit("a", 0, true);
		submit("b", 0, true);
		assertThat(server("a")).isEqualTo("fast");
		assertThat(server("b")).isEqualTo("fast");
	}

	// Guards against slots that stay occupied after their daemon has failed.
	@Test
	void slotsOfFailedDaemonAreReleased() {
		this.scheduler.updateServers(List.of(member("s1", 1, false)));
		submit("a", 0, true);
		this.scheduler.releaseAll("daemon");
		submit("b", 0, true);
		assertThat(server("b")).isEqualTo("s1");
	}

	// Guards against overloading a server after another daemon has become the scheduler
	// of
	// its pool.
	@Test
	void restoredGrantsOccupySlots() {
		this.scheduler.updateServers(List.of(member("s1", 1, false)));
		this.scheduler.restoreGrant(request("a", 0, true, List.of(), Set.of()), "s1");
		submit("b", 0, true);
		assertThat(this.granted).isEmpty();
		this.scheduler.release("a", 1, false);
		assertThat(this.granted).containsExactly("b");
	}

	private void submitWithProgramTime(String id, long programRemainingMs) {
		submit(new SlotRequest(id, "daemon", "", "", 0, true, programRemainingMs, 250, 3000, List.of(), 0, Set.of(),
				Set.of()));
	}

	private void submit(String id, int priority, boolean running) {
		submit(request(id, priority, running, List.of(), Set.of()));
	}

	private void submit(SlotRequest request) {
		String id = request.id();
		this.scheduler.submit(request, (answer) -> {
			this.answers.put(id, answer);
			if (answer.serverId() != null) {
				this.granted.add(id);
			}
		});
	}

	private String server(String id) {
		SlotDecision answer = this.answers.get(id);
		return (answer != null && answer.serverId() != null) ? answer.serverId() : "none";
	}

	private static SlotRequest request(String id, int priority, boolean running, List<PromptPart> prompt,
			Set<String> excluded) {
		return new SlotRequest(id, "daemon", "", "", priority, running, Long.MAX_VALUE, 250, 3000, prompt, 0, excluded,
				Set.of());
	}

	private static PoolMember member(String id, int slots, boolean draining) {
		return new PoolMember(id, "pool", "127.0.0.1:1", "a", slots, draining, 0);
	}

}

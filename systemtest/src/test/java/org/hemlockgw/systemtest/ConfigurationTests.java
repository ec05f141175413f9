package org.hemlockgw.systemtest;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

import org.hemlockgw.core.program.Message;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against daemons that disagree on the configuration, come late or go back (G10),
 * and against a log outage that stops running programs.
 */
class ConfigurationTests {

	private static final ObjectMapper JSON = new ObjectMapper();

	@Test
	void racingPatchesHaveOneWinnerEverywhereWithinTheBound() throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine())) {
			List<CompletableFuture<Boolean>> patches = new ArrayList<>();
			for (int i = 1; i <= 8; i++) {
				int weight = i;
				patches.add(Caller.async(() -> {
					system.patchWeight(1, weight);
					return true;
				}));
			}
			patches.forEach(CompletableFuture::join);
			system.awaitVersion(2);
			Set<List<JsonNode>> inForce = new HashSet<>();
			for (DaemonProcess daemon : system.daemons.values()) {
				assertThat(system.version(daemon)).isEqualTo(2);
				JsonNode snapshot = JSON.readTree(system.get(daemon.admin(), "/config").body());
				inForce.add(List.of(snapshot.path("document"), snapshot.path("blame"), snapshot.path("notes")));
			}
			assertThat(inForce).hasSize(1);
			// A snapshot also lists rejected patches, which daemons may read later.
			Await.until("all daemons have read all patches", TestSystem.CONFIGURATION_BOUND, () -> {
				Set<String> found = snapshots(system);
				return found.size() == 1 && outcomes(found.iterator().next()).size() == 8;
			});
			List<JsonNode> accepted = outcomes(snapshots(system).iterator().next()).stream()
				.filter((outcome) -> outcome.path("causes").isEmpty())
				.toList();
			assertThat(accepted).hasSize(1);
			assertThat(accepted.get(0).path("version").asLong()).isEqualTo(2);
		}
	}

	private static List<JsonNode> outcomes(String snapshot) throws IOException {
		List<JsonNode> found = new ArrayList<>();
		for (JsonNode outcome : JSON.readTree(snapshot).path("outcomes")) {
			if (outcome.path("base").asLong() == 1) {
				found.add(outcome);
			}
		}
		return found;
	}

	private static Set<String> snapshots(TestSystem system) throws IOException, InterruptedException {
		Set<String> found = new HashSet<>();
		for (DaemonProcess daemon : system.daemons.values()) {
			found.add(system.get(daemon.admin(), "/config").body());
		}
		return found;
	}

	@Test
	void daemonStartedDuringALogOutageTakesTheVersionFromAPeerAndNoneGoesBack() throws Exception {
		try (TestSystem system = TestSystem.start(2, TestSystem.engine())) {
			system.patchWeight(1, 5);
			system.awaitVersion(2);
			system.log.set("{\"outage\":true}");
			DaemonProcess late = system.launch("late");
			system.daemons.put("late", late);
			system.register(late);
			Await.until("the late daemon has version 2", Duration.ofSeconds(30), () -> system.version(late) == 2);
			system.log.set("{\"outage\":false}");
			system.patchWeight(1, 9);
			system.patchWeight(2, 7);
			system.awaitVersion(3);
			for (DaemonProcess daemon : system.daemons.values()) {
				assertThat(system.version(daemon)).isEqualTo(3);
			}
		}
	}

	@Test
	void runningProgramsGoOnDuringALogOutage() throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine())) {
			Caller caller = new Caller(TestSystem.KEY_A);
			caller.openWhenReady(system.callers(), "p1", 1_000_000);
			List<Message> history = new ArrayList<>(List.of(new Message("user", "before")));
			Answer before = caller.turnUntilAnswered(system.callers(), "p1", "t0", history, 10);
			history.add(new Message("assistant", before.text()));
			system.log.set("{\"outage\":true}");
			AtomicBoolean outage = new AtomicBoolean(true);
			List<String> expected = new ArrayList<>();
			List<CompletableFuture<Answer>> turns = new ArrayList<>();
			List<CompletableFuture<Boolean>> early = new ArrayList<>();
			for (int turn = 1; turn <= 4; turn++) {
				history.add(new Message("user", "during " + turn));
				String text = TestSystem.expected(history, 10);
				StringBuffer streamed = new StringBuffer();
				CompletableFuture<Answer> answer = caller.turnAsync(system.callers().get(turn % 3), "p1", "t" + turn, 0,
						List.copyOf(history), 10, streamed::append);
				turns.add(answer);
				early.add(answer.thenApply((end) -> outage.get()));
				Await.until("turn " + turn + " is generated", Duration.ofSeconds(20),
						() -> streamed.toString().equals(text));
				expected.add(text);
				history.add(new Message("assistant", text));
			}
			for (int i = 0; i < 2; i++) {
				Answer refused = caller.service(system.callers().get(0), "p1", "s-during" + i, 0, "svc", false);
				assertThat(refused.code()).isEqualTo("log_unavailable");
			}
			outage.set(false);
			system.log.set("{\"outage\":false}");
			for (int i = 0; i < turns.size(); i++) {
				Answer answer = turns.get(i).get(30, TimeUnit.SECONDS);
				assertThat(answer.ok()).isTrue();
				assertThat(answer.text()).isEqualTo(expected.get(i));
				assertThat(early.get(i).join()).isFalse();
			}
			system.ownerOf("t4").kill();
			history.add(new Message("user", "after"));
			Answer after = caller.turnUntilAnswered(system.callers(), "p1", "t5", history, 10);
			assertThat(after.text()).isEqualTo(TestSystem.expected(history, 10));
			assertThat(caller.program(system.callers().get(0), "p1").path("turns").asInt()).isEqualTo(6);
		}
	}

}

package org.hemlockgw.daemon.dispatch;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.core.blackboard.Blackboard;
import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.config.BackendKind;
import org.hemlockgw.core.config.BackendServer;
import org.hemlockgw.core.config.Configuration;
import org.hemlockgw.core.config.Limits;
import org.hemlockgw.core.config.Policy;
import org.hemlockgw.core.dispatch.EngineChoice;
import org.hemlockgw.core.dispatch.EngineLoad;
import org.hemlockgw.core.dispatch.EngineQuery;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against engines that are chosen although they are leaving, excluded or of
 * another model, and against a cached prefix that is overlooked among many engines.
 */
class CompletionEngineChooserTests {

	private static final ProgramId PROGRAM = new ProgramId("a", "p");

	private final Blackboard blackboard = Blackboard.create();

	private final CompletionEngineChooser chooser = new CompletionEngineChooser(this.blackboard);

	@ParameterizedTest
	@ValueSource(ints = { 1, 31, 33, 400 })
	void cachedPrefixIsFoundAmongAnyNumberOfEngines(int engines) {
		configure(engines, Set.of());
		String last = "engine-" + (engines - 1);
		for (int i = 0; i < 50; i++) {
			assertThat(choose(last, Set.of()).engine()).isEqualTo(last);
		}
	}

	@Test
	void leavingAndExcludedEnginesAreNeverChosen() {
		configure(40, Set.of("engine-3"));
		for (int i = 0; i < 500; i++) {
			assertThat(choose("engine-3", Set.of("engine-4")).engine()).isNoneOf("engine-3", "engine-4");
		}
	}

	@Test
	void theOnlyEngineLeftIsFoundWhenAllOthersAreLeaving() {
		Set<String> leaving = new HashSet<>();
		for (int i = 0; i < 399; i++) {
			leaving.add("engine-" + i);
		}
		configure(400, leaving);
		assertThat(choose("engine-0", Set.of()).engine()).isEqualTo("engine-399");
	}

	@Test
	void aModelThatNoEngineServesHasNoChoice() {
		configure(5, Set.of());
		assertThat(this.chooser.choose(new EngineQuery(PROGRAM, "other", 10, null, 0, Set.of())).isEmpty()).isTrue();
	}

	private EngineChoice choose(String last, Set<String> excluded) {
		return this.chooser.choose(new EngineQuery(PROGRAM, "m", 20_000, last, 19_000, excluded)).orElseThrow();
	}

	private void configure(int engines, Set<String> leaving) {
		Map<String, BackendServer> servers = new HashMap<>();
		Map<String, EngineLoad> loads = new HashMap<>();
		for (int i = 0; i < engines; i++) {
			String name = "engine-" + i;
			servers.put(name, new BackendServer(name, BackendKind.ENGINE, "127.0.0.1:1", "dc", Set.of("m"), true,
					leaving.contains(name), 16, 100_000));
			// A load that is newer than each choice keeps earlier choices from counting
			// as work.
			loads.put(name, new EngineLoad(name, 0, 0, 16, 0, 8_000, 400, Instant.now().plusSeconds(60)));
		}
		this.blackboard.engineLoads().set(loads);
		this.blackboard.configuration()
			.set(new Configuration(1, Policy.CACHE_FIRST, Limits.DEFAULT, Map.of(), Map.of(), servers));
	}

}

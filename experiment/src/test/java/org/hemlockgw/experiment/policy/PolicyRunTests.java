package org.hemlockgw.experiment.policy;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an experiment that loses programs or gives other figures for the same
 * seed.
 */
class PolicyRunTests {

	@ParameterizedTest
	@EnumSource(PolicyKind.class)
	void everyAdmittedProgramFinishesAndTheSeedDecidesAllFigures(PolicyKind kind) {
		Outcome first = run(kind);
		Outcome second = run(kind);
		assertThat(first.finished() + first.shed()).isEqualTo(first.offered());
		assertThat(second.programs()).isEqualTo(first.programs());
		assertThat(second.wastedTokens()).isEqualTo(first.wastedTokens());
	}

	private static Outcome run(PolicyKind kind) {
		return new PolicyRun(kind, Scenario.create(3, 0.5, 60, 1, true)).run();
	}

}

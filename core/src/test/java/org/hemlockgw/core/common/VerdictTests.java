package org.hemlockgw.core.common;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class VerdictTests {

	@Example
	void namesAreStableBecauseTheyArePartOfTheHttpErrorFormat() {
		assertThat(Verdict.valueOf("MAY_HAVE_RUN")).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

}

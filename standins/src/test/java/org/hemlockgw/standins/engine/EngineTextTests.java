package org.hemlockgw.standins.engine;

import java.util.List;

import net.jqwik.api.Example;

import org.hemlockgw.core.program.Message;

import static com.google.common.truth.Truth.assertThat;

class EngineTextTests {

	@Example
	void aGeneratedAnswerKeepsItsTokenCountAsHistory() {
		String answer = EngineText.answer(42, 0, 100);
		assertThat(EngineText.tokens("assistant", answer)).isEqualTo(100);
		assertThat(EngineText.tokens("assistant", answer.strip())).isEqualTo(100);
		assertThat(EngineText.tokens("user", answer)).isEqualTo(100);
	}

	@Example
	void textInputCountsOneTokenPerFourBytesRoundedUp() {
		assertThat(EngineText.tokens("user", "")).isEqualTo(0);
		assertThat(EngineText.tokens("user", "abcd")).isEqualTo(1);
		assertThat(EngineText.tokens("user", "abcdå")).isEqualTo(2);
	}

	@Example
	void theDigestTellsWhereOneMessageEndsAndWhoWroteIt() {
		long digest = EngineText.digest(List.of(new Message("user", "ab"), new Message("user", "c")));
		assertThat(EngineText.digest(List.of(new Message("user", "a"), new Message("user", "bc"))))
			.isNotEqualTo(digest);
		assertThat(EngineText.digest(List.of(new Message("user", "ab"), new Message("tool", "c"))))
			.isNotEqualTo(digest);
	}

}

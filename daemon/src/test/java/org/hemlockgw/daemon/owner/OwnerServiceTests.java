package org.hemlockgw.daemon.owner;

import java.nio.charset.StandardCharsets;
import java.util.List;

import net.jqwik.api.Example;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.common.Verdict;
import org.hemlockgw.core.program.Message;
import org.hemlockgw.core.program.ProgramState;
import org.hemlockgw.core.program.ProgramView;

import static com.google.common.truth.Truth.assertThat;

class OwnerServiceTests {

	private static final ProgramId PROGRAM = new ProgramId("a", "p");

	private static final List<Message> PROMPT = List.of(new Message("user", "one two three"));

	@Example
	void turnAndServiceCallRunOnceAndTheirRepeatsGetTheSameAnswer() {
		try (OwnerFixture f = new OwnerFixture()) {
			f.open(PROGRAM, 100_000);
			String expected = FakeDispatcher.answer(PROMPT, 5);
			OwnerFixture.Answer first = OwnerFixture.get(f.turn(PROGRAM, "k1", 1, PROMPT, 5));
			OwnerFixture.Answer repeat = OwnerFixture.get(f.turn(PROGRAM, "k1", 1, PROMPT, 5));
			OwnerFixture.get(f.order(PROGRAM, "k2", 2, false));
			OwnerFixture.Answer order = OwnerFixture.get(f.order(PROGRAM, "k2", 2, false));
			assertThat(first.delivered()).isEqualTo(expected);
			assertThat(repeat.delivered()).isEqualTo(expected);
			assertThat(new String(order.result().body(), StandardCharsets.UTF_8)).isEqualTo("k2 done");
			assertThat(f.dispatcher.requests).hasSize(1);
			assertThat(f.service.executions("a/p/k2")).isEqualTo(1);
			ProgramView ended = OwnerFixture.get(f.owner.end(PROGRAM));
			assertThat(ended.state()).isEqualTo(ProgramState.ENDED);
			assertThat(ended.spentTokens()).isEqualTo(first.result().usage().chargedTokens());
			assertThat(f.dispatcher.released).containsExactly("e1 a/p");
			assertThat(OwnerFixture.failure(f.order(PROGRAM, "k3", 0, false)).verdict()).isEqualTo(Verdict.NOT_RUN);
		}
	}

}

package org.hemlockgw.systemtest;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.hemlockgw.core.program.Message;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a broken path from caller to engine and plain service and back.
 */
class WholePathTests {

	@Test
	void programOfTwoTurnsAndOneServiceCallThroughThreeDaemons() throws Exception {
		try (TestSystem system = TestSystem.start(3, TestSystem.engine(), TestSystem.engine())) {
			Caller caller = new Caller(TestSystem.KEY_A);
			List<String> addresses = system.callers();
			caller.openWhenReady(addresses, "p1", 100_000);
			List<Message> first = List.of(new Message("user", "hello"));
			Answer answer = caller.turn(addresses.get(0), "p1", "t1", first, 20);
			assertThat(answer.ok()).isTrue();
			assertThat(answer.text()).isEqualTo(TestSystem.expected(first, 20));
			List<Message> second = List.of(first.get(0), new Message("assistant", answer.text()),
					new Message("user", "again"));
			Answer next = caller.turn(addresses.get(1), "p1", "t2", second, 20);
			assertThat(next.text()).isEqualTo(TestSystem.expected(second, 20));
			Answer published = caller.service(addresses.get(2), "p1", "s1", 0, "svc", false);
			assertThat(published.verdict()).isEqualTo("RAN");
			assertThat(system.service.executions().values()).containsExactly(1);
			assertThat(caller.end(addresses.get(0), "p1").status()).isEqualTo(200);
		}
	}

}

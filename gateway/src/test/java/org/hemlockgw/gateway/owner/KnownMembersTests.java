package org.hemlockgw.gateway.owner;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link KnownMembers}. Daemon names consist of address, data centre and
 * incarnation.
 */
class KnownMembersTests {

	private static final int ROUNDS = 20;

	private long nanos = TimeUnit.SECONDS.toNanos(1);

	private final KnownMembers members = new KnownMembers(member("s:1/a/x"), () -> this.nanos);

	// Guards against selecting one daemon twice, because a restart gave it a second name,
	// and against selecting this daemon.
	@ParameterizedTest
	@CsvSource({ "b:1/a/x b:1/a/y c:1/a/x, 2", "b:1/a/x b:1/a/y, 1", "s:1/a/w b:1/a/x, 1", "s:1/a/x b:1/a/x, 1" })
	void addressIsSelectedOnce(String seen, int expected) {
		Arrays.stream(seen.split(" ")).forEach((name) -> this.members.recordSeen(List.of(member(name))));
		for (int i = 0; i < ROUNDS; i++) {
			Set<String> addresses = new HashSet<>();
			this.members.choose(2).forEach((member) -> addresses.add(member.peerAddress()));
			assertThat(addresses).hasSize(expected);
			assertThat(addresses).doesNotContain("s:1");
		}
		assertThat(this.members.all()).hasSize(expected);
	}

	// Guards against relays in a single data centre although others exist, and against
	// daemons that are never selected.
	@ParameterizedTest
	@CsvSource({ "b:1/a/x c:1/b/x d:1/b/x, 1", "b:1/b/x c:1/c/x d:1/c/x, 2", "b:1/a/x c:1/a/x d:1/a/x, 0" })
	void otherDataCentresArePreferred(String seen, int otherDataCentres) {
		this.members.recordSeen(Arrays.stream(seen.split(" ")).map(KnownMembersTests::member).toList());
		Set<MemberName> selected = new HashSet<>();
		for (int i = 0; i < ROUNDS; i++) {
			List<MemberName> chosen = this.members.choose(2);
			assertThat(
					chosen.stream().map(MemberName::dataCentre).filter((name) -> !name.equals("a")).distinct().count())
				.isEqualTo(otherDataCentres);
			selected.addAll(chosen);
		}
		assertThat(selected).hasSize(3);
	}

	// Guards against repeated requests to a lost daemon, and against selecting no daemon
	// when all of them failed.
	@ParameterizedTest
	@CsvSource({ "b:1, 0, c:1", "b:1, 1999, c:1", "b:1, 2001, b:1 c:1", "b:1 c:1, 0, b:1 c:1" })
	void daemonThatDidNotReplyIsNotSelected(String failed, long laterMs, String expected) {
		this.members.recordSeen(List.of(member("b:1/a/x"), member("c:1/a/x")));
		Arrays.stream(failed.split(" ")).forEach((address) -> this.members.recordFailure(member(address + "/a/x")));
		this.nanos += TimeUnit.MILLISECONDS.toNanos(laterMs);
		assertThat(this.members.choose(2).stream().map(MemberName::peerAddress).toList())
			.containsExactlyElementsIn(expected.split(" "));
		assertThat(this.members.all()).hasSize(2);
	}

	@ParameterizedTest
	@CsvSource({ "0, 1", "2000, 1", "120000, 1", "121000, 0" })
	void membersExpire(long laterMs, int remaining) {
		this.members.recordSeen(List.of(member("b:1/a/x")));
		this.nanos += TimeUnit.MILLISECONDS.toNanos(laterMs);
		this.members.recordSeen(List.of());
		assertThat(this.members.all()).hasSize(remaining);
	}

	private static MemberName member(String text) {
		MemberName name = MemberName.parse(text);
		if (name == null) {
			throw new IllegalArgumentException(text);
		}
		return name;
	}

}

package org.hemlockgw.core.account;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.StringLength;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the classes that decide on client accounts.
 */
class AccountTests {

	private static final AccountDirectory ACCOUNTS = new AccountDirectory.Builder()
		.add(new ClientAccount("red", 4, null), List.of("key-red"))
		.build();

	// Guards against a caller that forges the identifier of another account.
	@Property(seed = "41", tries = 1000)
	void qualifiedIdentifiersNeverCollide(
			@ForAll @StringLength(max = 4) @NumericChars @Chars({ ':', 'a' }) String account,
			@ForAll @StringLength(max = 4) @NumericChars @Chars({ ':', 'a' }) String id,
			@ForAll @StringLength(max = 4) @NumericChars @Chars({ ':', 'a' }) String otherAccount,
			@ForAll @StringLength(max = 4) @NumericChars @Chars({ ':', 'a' }) String otherId) {
		boolean same = account.equals(otherAccount) && id.equals(otherId);
		assertThat(scope(account).qualify(id).equals(scope(otherAccount).qualify(otherId))).isEqualTo(same);
		assertThat(AccountScope.DISABLED.qualify(id)).isEqualTo(id);
	}

	// Guards against an identifier that a caller forges through a daemon whose
	// configuration has no accounts yet; no HTTP header value contains a line feed.
	@Example
	void qualifiedIdentifierCannotBeSentByACaller() {
		assertThat(scope("red").qualify("t1")).startsWith("\n");
		assertThat(scope("").qualify("t1")).startsWith("\n");
	}

	private static AccountScope scope(String account) {
		return account.isEmpty() ? AccountScope.PUBLIC : AccountScope.of(new ClientAccount(account, null, null));
	}

	// Guards against a final answer by a daemon whose configuration may be too old, and
	// against credentials of another form that are taken for a key.
	@ParameterizedTest
	@CsvSource({ "Bearer key-red, false, true, ACCEPTED, red", "bearer  key-red , false, true, ACCEPTED, red",
			"Bearer key-blue, false, true, KEY_UNKNOWN, ''", "Basic key-red, false, true, KEY_MISSING, ''",
			"key-red, false, true, KEY_MISSING, ''", "Bearer, false, true, KEY_MISSING, ''",
			", false, true, KEY_MISSING, ''", "Bearer key-red, false, false, PROOF_TOO_OLD, ''",
			"Bearer key-blue, false, false, PROOF_TOO_OLD, ''", "Bearer key-red, true, false, ACCEPTED, ''" })
	void requestIsDecidedByRouteProofAndKey(@Nullable String credentials, boolean publicRoute, boolean proofValid,
			AccountAccess.Outcome outcome, String account) {
		AccountAccess.Decision decision = AccountAccess.decide(ACCOUNTS, publicRoute, () -> proofValid, credentials);
		assertThat(decision.outcome()).isEqualTo(outcome);
		assertThat(decision.scope().accountName()).isEqualTo(account);
		assertThat(decision.scope().priority(1)).isEqualTo(account.isEmpty() ? 1 : 4);
		assertThat(AccountAccess.decide(null, publicRoute, AccountTests::unexpected, credentials).scope())
			.isEqualTo(AccountScope.DISABLED);
		// Guards against a clock that is read for requests that need no key.
		assertThat(AccountAccess.decide(ACCOUNTS, true, AccountTests::unexpected, credentials).scope())
			.isEqualTo(AccountScope.PUBLIC);
	}

	// Guards against a suspension that neither clock shows by itself: the monotonic clock
	// stopped, and the wall clock was set back before.
	@ParameterizedTest
	@CsvSource({ "0, 0, 3000, 3000", "3000, 0, 0, 3000", "0, -9000, 8000, 8000", "1000, -9000, 8000, 9000",
			"0, -9000, -50, 0", "100, 9000, 0, 9000" })
	void clockNeverRunsBehindRealTime(long monotonicMs, long wallStepMs, long suspendedMs, long minMs) {
		long[] nanos = new long[1];
		Instant[] wall = { Instant.ofEpochSecond(1_000_000) };
		SuspendAwareClock clock = new SuspendAwareClock(() -> nanos[0], () -> wall[0]);
		long begin = clock.getAsLong();
		nanos[0] += TimeUnit.MILLISECONDS.toNanos(monotonicMs);
		wall[0] = wall[0].plusMillis(wallStepMs);
		clock.getAsLong();
		// Any step that is folded in here makes the following one visible.
		nanos[0] += TimeUnit.MILLISECONDS.toNanos(20);
		clock.getAsLong();
		wall[0] = wall[0].plusMillis(suspendedMs);
		assertThat(clock.getAsLong() - begin).isAtLeast(TimeUnit.MILLISECONDS.toNanos(minMs));
	}

	private static boolean unexpected() {
		throw new AssertionError("the proof was evaluated");
	}

	// Guards against a daemon that stays without accounts for ever while it has no path
	// to
	// the store, and against requests to other daemons in normal operation.
	@Example
	void newerConfigurationIsRequestedRarelyWithoutAccounts() {
		PeerProofSchedule schedule = new PeerProofSchedule(Duration.ofMillis(4500), 0, 7);
		long now = Duration.ofSeconds(10).toNanos();
		assertThat(schedule.nextWithoutAccounts(now, Duration.ofMillis(4499).toNanos(), () -> List.of("a"))).isNull();
		assertThat(schedule.nextWithoutAccounts(now, Duration.ofMillis(4500).toNanos(), () -> List.of("a")))
			.isEqualTo("a");
		schedule.replied(false);
		now += Duration.ofMillis(4499).toNanos();
		assertThat(schedule.nextWithoutAccounts(now, Long.MAX_VALUE, () -> List.of("a"))).isNull();
		now += Duration.ofMillis(1).toNanos();
		assertThat(schedule.nextWithoutAccounts(now, Long.MAX_VALUE, () -> List.of("a"))).isEqualTo("a");
	}

	// Guards against requests to other daemons that exceed their rate, repeat the same
	// daemon, or are made although the store answers.
	@Property(seed = "42", tries = 200)
	void otherDaemonsAreAskedAtALimitedRate(@ForAll List<Boolean> replies) {
		PeerProofSchedule schedule = new PeerProofSchedule(Duration.ofMillis(4500), 0, 7);
		List<String> peers = List.of("a", "b", "c", "d");
		long now = 0;
		String previous = "";
		assertThat(schedule.next(now, Duration.ofMillis(3100).toNanos(), false, () -> peers)).isNull();
		for (boolean useful : replies) {
			long requestedBefore = now;
			String peer = null;
			while (peer == null) {
				now += Duration.ofMillis(10).toNanos();
				peer = schedule.next(now, Long.MAX_VALUE, false, () -> peers);
				assertThat(now - requestedBefore).isLessThan(Duration.ofSeconds(3).toNanos());
			}
			assertThat(peer).isNotEqualTo(previous);
			if (!previous.isEmpty()) {
				assertThat(now - requestedBefore).isAtLeast(Duration.ofMillis(333).toNanos());
			}
			assertThat(schedule.next(now + Duration.ofMinutes(1).toNanos(), Long.MAX_VALUE, false, () -> peers))
				.isNull();
			previous = peer;
			if (useful) {
				schedule.replied(true);
			}
			else {
				schedule.failed(now);
			}
		}
	}

	// Guards against a key of two accounts, and an error message that contains a key.
	@Example
	void keysAreAmbiguousOnlyBetweenAccounts() {
		AccountDirectory.Builder builder = new AccountDirectory.Builder().add(new ClientAccount("red", null, null),
				List.of("secret", "secret"));
		for (String name : List.of("red", "blue")) {
			try {
				builder.add(new ClientAccount(name, null, null), List.of("secret"));
				throw new AssertionError("account was accepted");
			}
			catch (IllegalArgumentException expected) {
				assertThat(expected).hasMessageThat().contains(name);
				assertThat(expected).hasMessageThat().doesNotContain("secret");
			}
		}
	}

}

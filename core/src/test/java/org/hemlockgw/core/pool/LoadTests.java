package org.hemlockgw.core.pool;

import java.util.function.Predicate;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.hemlockgw.core.pool.LoadModel.Kind;
import org.hemlockgw.core.pool.LoadModel.Program;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Plays the loads of part 5 of {@code docs/hard-load.md} and checks what callers get.
 * Usually 60 % of the slots of both pools are busy.
 */
class LoadTests {

	private static final int ACCOUNTS = 9;

	/** Usual programs a second of each of the accounts. */
	private static final double URGENT_RATE = 1.38;

	private static final double NORMAL_RATE = 0.67;

	/** Account that floods; usually a fifth of the load. */
	private static final String LARGE = "large";

	private static final double LARGE_FACTOR = 2.25;

	private static final long FROM_MS = 5000;

	private static final long END_MS = 25_000;

	private static final long RUN_MS = 35_000;

	// Guards against a flood of one account that makes the programs of others late.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void floodOfOneAccountLeavesOthersTheirShare(long seed) {
		LoadModel usual = usualLoad(seed);
		usual.run(RUN_MS);
		LoadModel flooded = usualLoad(seed);
		addFlood(flooded, LARGE, 6.5 * LARGE_FACTOR, 15_000, seed);
		flooded.run(RUN_MS);
		for (Kind kind : Kind.values()) {
			Predicate<Program> others = during(15_000)
				.and((program) -> !program.account().equals(LARGE) && program.kind() == kind);
			assertWithMessage(kind + flooded.summary()).that(flooded.shareInTime(others))
				.isAtLeast(usual.shareInTime(others) - 0.05);
		}
		assertOrderly(flooded);
		assertThat(flooded.refusalsWithFreeServers()).isEmpty();
	}

	// Guards against urgent programs that are late because of less urgent ones, and
	// against a burst of urgent ones that leaves nothing to the others.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void burstOfUrgentProgramsIsServed(long seed) {
		LoadModel model = usualLoad(seed);
		for (int i = 0; i < ACCOUNTS; i++) {
			model.addSource("a" + i, Kind.URGENT, 1.6 * URGENT_RATE, FROM_MS, 10_000, seed * 1000 + 500 + i);
		}
		model.addSource(LARGE, Kind.URGENT, 1.6 * URGENT_RATE * LARGE_FACTOR, FROM_MS, 10_000, seed * 1000 + 600);
		model.run(RUN_MS);
		Predicate<Program> urgent = (program) -> program.kind() == Kind.URGENT;
		assertWithMessage(model.summary()).that(model.shareInTime(during(10_000).and(urgent))).isAtLeast(0.8);
		assertWithMessage(model.summary()).that(model.shareInTime(during(10_000).and(urgent.negate()))).isAtLeast(0.4);
		assertRecovered(model, 12_000);
		assertOrderly(model);
		assertThat(model.refusalsWithFreeServers()).isEmpty();
	}

	// Guards against programs that are begun and then become late or fail because the
	// pool of the tools is saturated.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void slowToolsCostOnlyWhatExceedsTheirCapacity(long seed) {
		LoadModel model = usualLoad(seed);
		model.slowTools(FROM_MS, 15_000);
		model.run(RUN_MS);
		assertWithMessage(model.summary()).that(model.shareInTime(during(15_000))).isAtLeast(0.6);
		assertRecovered(model, 17_000);
		assertOrderly(model);
	}

	// Guards against an overload that outlasts its cause, and against one account that
	// gets more than the others in it.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void floodOfAllAccountsEndsWithItsCause(long seed) {
		LoadModel model = usualLoad(seed);
		for (int i = 0; i < ACCOUNTS; i++) {
			addFlood(model, "a" + i, 3, 15_000, seed + i);
		}
		addFlood(model, LARGE, 3 * LARGE_FACTOR, 15_000, seed + 50);
		model.run(RUN_MS);
		// Usually 0.6 of the capacity is used, so 4 times as much can get 1 / 2.4.
		assertWithMessage(model.summary()).that(model.shareInTime(during(15_000))).isAtLeast(0.6 / 2.4);
		assertRecovered(model, 17_000);
		assertOrderly(model);
		assertThat(model.refusalsWithFreeServers()).isEmpty();
	}

	private static LoadModel usualLoad(long seed) {
		LoadModel model = new LoadModel();
		for (int i = 0; i < ACCOUNTS; i++) {
			model.addSource("a" + i, Kind.URGENT, URGENT_RATE, 0, END_MS, seed * 1000 + i);
			model.addSource("a" + i, Kind.NORMAL, NORMAL_RATE, 0, END_MS, seed * 1000 + 100 + i);
		}
		model.addSource(LARGE, Kind.URGENT, URGENT_RATE * LARGE_FACTOR, 0, END_MS, seed * 1000 + 200);
		model.addSource(LARGE, Kind.NORMAL, NORMAL_RATE * LARGE_FACTOR, 0, END_MS, seed * 1000 + 300);
		return model;
	}

	private static void addFlood(LoadModel model, String account, double factor, long untilMs, long seed) {
		model.addSource(account, Kind.URGENT, factor * URGENT_RATE, FROM_MS, untilMs, seed * 1000 + 700);
		model.addSource(account, Kind.NORMAL, factor * NORMAL_RATE, FROM_MS, untilMs, seed * 1000 + 800);
	}

	private static Predicate<Program> during(long untilMs) {
		return (program) -> program.begunMs() >= FROM_MS && program.begunMs() < untilMs;
	}

	private static void assertRecovered(LoadModel model, long fromMs) {
		Predicate<Program> after = (program) -> program.begunMs() >= fromMs && program.begunMs() < fromMs + 5000;
		assertWithMessage(model.summary()).that(model.shareInTime(after)).isAtLeast(0.95);
	}

	private static void assertOrderly(LoadModel model) {
		assertWithMessage("inversions").that(model.inversions()).isEqualTo(0);
		assertWithMessage("refusals of held requests").that(model.heldRefusals()).isEqualTo(0);
	}

}

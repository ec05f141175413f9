package org.hemlockgw.experiment.placement;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;

import org.hemlockgw.core.pool.PoolMember;
import org.hemlockgw.core.pool.PoolScheduler;
import org.hemlockgw.core.pool.PromptPart;
import org.hemlockgw.core.pool.ResponseTiming;
import org.hemlockgw.core.pool.SlotRequest;

/**
 * Measures the processor time of a decision.
 */
final class DecisionTimes {

	private static final int WARM_UP = 20_000;

	private static final int SAMPLES = 20_000;

	private static final int SESSIONS = 2000;

	private DecisionTimes() {
	}

	static void print(PrintWriter print) {
		print.printf("%n%-8s %12s %12s %12s%n", "engines", "p50 us", "p99 us", "mean us");
		for (int engines : new int[] { 31, 2400 }) {
			long[] nanos = measure(engines);
			print.printf(Locale.ROOT, "%-8d %12.1f %12.1f %12.1f%n", engines, nanos[SAMPLES / 2] / 1e3,
					nanos[SAMPLES * 99 / 100] / 1e3, Arrays.stream(nanos).average().orElse(0) / 1e3);
		}
	}

	private static long[] measure(int engines) {
		PoolScheduler scheduler = new PoolScheduler(System::nanoTime);
		scheduler.setMemoryTokens(EngineModel.MEMORY_TOKENS);
		scheduler.updateServers(IntStream.range(0, engines)
			.mapToObj((i) -> new PoolMember("e" + i, "p", "10.0.0.1:80", "a", EngineModel.SLOTS, false, 0))
			.toList());
		long[] nanos = new long[SAMPLES];
		for (int i = 0; i < WARM_UP + SAMPLES; i++) {
			SlotRequest request = request(i);
			long start = System.nanoTime();
			scheduler.submit(request, (decision) -> {
			});
			long elapsed = System.nanoTime() - start;
			if (i >= WARM_UP) {
				nanos[i - WARM_UP] = elapsed;
			}
			// Half of the slots are in use.
			if (i >= engines * EngineModel.SLOTS / 2) {
				scheduler.release("r" + (i - engines * EngineModel.SLOTS / 2), new ResponseTiming(12, 40_000, 22_000),
						false);
			}
		}
		Arrays.sort(nanos);
		return nanos;
	}

	private static SlotRequest request(int number) {
		int session = number % SESSIONS;
		List<PromptPart> prompt = new ArrayList<>();
		prompt.add(new PromptPart("k" + session % 12, 2000));
		for (int part = 0; part <= number / SESSIONS % 8; part++) {
			prompt.add(new PromptPart("s" + session + "-" + part, 300));
		}
		return new SlotRequest("r" + number, "d", "", "s" + session, 0, true, Long.MAX_VALUE, 250, 600_000, prompt, 100,
				Set.of(), Set.of("e1", "e5"));
	}

}

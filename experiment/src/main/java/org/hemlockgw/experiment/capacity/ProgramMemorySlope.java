package org.hemlockgw.experiment.capacity;

import java.util.ArrayList;
import java.util.List;

import org.hemlockgw.core.common.ProgramId;
import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.core.program.ProgramSnapshot;

/**
 * Memory of a program: the owner's snapshot and the fold of the ledger's writer, which
 * share the texts.
 */
final class ProgramMemorySlope implements Slope {

	private static final int PROGRAMS = 16;

	private static final int MAX_TURNS = 65;

	private static final int TYPICAL_TOKENS = 65_000;

	@Override
	public String name() {
		return "program";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		return List.of(
				Series.measure("program.memory.tokens", "bytes", "history tokens", new int[] { 6500, 65_000, 390_000 },
						(n) -> bytes(measure, n, MAX_TURNS)),
				Series.measure("program.memory.turns", "bytes", "turns", new int[] { 5, 20, MAX_TURNS },
						(n) -> bytes(measure, TYPICAL_TOKENS, n)));
	}

	private static double bytes(Measure measure, int tokens, int turns) {
		return measure.retainedBytes(() -> programs(tokens, turns)) / PROGRAMS;
	}

	private static Object programs(int tokens, int turns) {
		LedgerState fold = LedgerState.ofAllShards();
		fold.startLedger("writer");
		for (int p = 0; p < PROGRAMS; p++) {
			List<LedgerRecord> records = new ArrayList<>();
			records.add(new Opened(Samples.program(p), 2_000_000, 100_000, MAX_TURNS, Samples.NOW, Samples.NOW));
			for (int i = 1; i <= turns; i++) {
				records.add(Samples.turn(p, i, tokens / turns * Samples.CHARACTERS_PER_TOKEN));
			}
			fold.apply(new LedgerBatch("writer", p, 0, records));
		}
		List<Object> kept = new ArrayList<>();
		kept.add(fold);
		fold.programs()
			.forEach((ProgramId id, LedgerRecord.ProgramRecord state) -> kept.add(ProgramSnapshot.restore(id, state)));
		return kept;
	}

}

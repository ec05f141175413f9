package org.hemlockgw.experiment.capacity;

import java.util.ArrayList;
import java.util.List;

import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Dispatched;
import org.hemlockgw.core.ledger.LedgerRecord.Granted;
import org.hemlockgw.core.ledger.LedgerRecord.Intent;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.wire.codec.ProtobufLedgerCodec;

/**
 * Bytes, encode time and decode time of ledger records.
 */
final class LedgerRecordSlope implements Slope {

	private static final int TURNS = 65;

	private static final int[] COUNTS = { 1, 10, 100 };

	private final ProtobufLedgerCodec codec = new ProtobufLedgerCodec();

	@Override
	public String name() {
		return "ledger";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		List<Series> all = new ArrayList<>();
		add(all, measure, "turn", "message bytes", new int[] { 1000, 10_000, 100_000 },
				(n) -> List.of(Samples.turn(1, 1, n)));
		add(all, measure, "intent", "records", COUNTS, (n) -> Samples.repeated(n, intent()));
		add(all, measure, "dispatched", "records", COUNTS, (n) -> Samples.repeated(n,
				new Dispatched(Samples.program(1), "%032x".formatted(1), "%032x".formatted(2), Samples.engine(1), 0)));
		add(all, measure, "grant", "records", COUNTS,
				(n) -> Samples.repeated(n, new Granted(Samples.program(1), 500_000)));
		add(all, measure, "checkpoint", "history tokens", new int[] { 4000, 40_000, 390_000 },
				LedgerRecordSlope::checkpoint);
		return all;
	}

	private void add(List<Series> all, Measure measure, String record, String by, int[] sizes, Records records)
			throws Exception {
		String prefix = "ledger." + record;
		all.add(Series.measure(prefix + ".bytes", "bytes", by, sizes,
				(n) -> this.codec.encode(batch(records.of(n))).length));
		all.add(Series.measure(prefix + ".encode", "us", by, sizes, (n) -> {
			LedgerBatch batch = batch(records.of(n));
			return measure.cpuUs(() -> this.codec.encode(batch));
		}));
		all.add(Series.measure(prefix + ".decode", "us", by, sizes, (n) -> {
			byte[] data = this.codec.encode(batch(records.of(n)));
			return measure.cpuUs(() -> this.codec.decode(data));
		}));
	}

	private static Intent intent() {
		return new Intent(Samples.program(1), "%032x".formatted(1), "%064x".formatted(2), 3, "stock-reservation",
				Samples.NOW);
	}

	private static List<LedgerRecord> checkpoint(int tokens) {
		LedgerState fold = LedgerState.ofAllShards();
		fold.startLedger("writer");
		List<LedgerRecord> records = new ArrayList<>();
		records.add(new Opened(Samples.program(1), 2_000_000, 100_000, TURNS, Samples.NOW, Samples.NOW));
		for (int i = 1; i <= TURNS; i++) {
			records.add(Samples.turn(1, i, tokens / TURNS * Samples.CHARACTERS_PER_TOKEN));
		}
		fold.apply(new LedgerBatch("writer", 0, 0, records));
		List<LedgerRecord> checkpoints = new ArrayList<>();
		LedgerState.checkpoints(fold.programs()).values().forEach(checkpoints::addAll);
		return checkpoints;
	}

	private static LedgerBatch batch(List<LedgerRecord> records) {
		return new LedgerBatch("%032x".formatted(7), 1, 0, records);
	}

	@FunctionalInterface
	private interface Records {

		List<LedgerRecord> of(int size);

	}

}

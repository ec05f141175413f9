package org.hemlockgw.experiment.capacity;

import java.util.ArrayList;
import java.util.List;

import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.core.ledger.LedgerRecord.Opened;
import org.hemlockgw.core.ledger.LedgerState;
import org.hemlockgw.wire.codec.ProtobufLedgerCodec;

/**
 * Decode and fold time of a predecessor's ledger.
 */
final class TakeOverSlope implements Slope {

	private static final int BATCH_RECORDS = 10;

	private static final int TURNS = 65;

	private static final int TURN_CHARACTERS = 2000;

	private final ProtobufLedgerCodec codec = new ProtobufLedgerCodec();

	@Override
	public String name() {
		return "takeover";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		int[] sizes = { 500, 2000, 8000 };
		Series time = Series.measure("takeover.fold.records", "us", "turn records", sizes, (n) -> {
			List<byte[]> ledger = ledger(n);
			return measure.cpuUs(() -> fold(ledger));
		});
		Series bytes = Series.measure("takeover.bytes.records", "bytes", "turn records", sizes,
				(n) -> ledger(n).stream().mapToLong((batch) -> batch.length).sum());
		return List.of(time, bytes);
	}

	private void fold(List<byte[]> ledger) {
		LedgerState fold = LedgerState.ofAllShards();
		fold.startLedger("writer");
		ledger.forEach((data) -> fold.apply(this.codec.decode(data)));
		fold.settleForTakeOver();
	}

	private List<byte[]> ledger(int turns) {
		List<byte[]> batches = new ArrayList<>();
		List<LedgerRecord> records = new ArrayList<>();
		for (int i = 0; i < turns; i++) {
			int program = i / TURNS;
			if (i % TURNS == 0) {
				records.add(new Opened(Samples.program(program), 2_000_000, 100_000, TURNS, Samples.NOW, Samples.NOW));
			}
			records.add(Samples.turn(program, 1 + i % TURNS, TURN_CHARACTERS));
			if (records.size() >= BATCH_RECORDS || i == turns - 1) {
				batches.add(this.codec.encode(new LedgerBatch("writer", batches.size(), 0, records)));
				records.clear();
			}
		}
		return batches;
	}

}

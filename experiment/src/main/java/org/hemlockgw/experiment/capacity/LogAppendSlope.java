package org.hemlockgw.experiment.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.hemlockgw.core.ledger.LedgerBatch;
import org.hemlockgw.core.ledger.LedgerRecord;
import org.hemlockgw.remote.HttpLogService;
import org.hemlockgw.standins.log.LogOptions;
import org.hemlockgw.standins.log.LogServer;
import org.hemlockgw.wire.codec.ProtobufLedgerCodec;

/**
 * Latency of one append to the log stand-in by bytes and by records of a batch. The
 * stand-in keeps records in memory, so a real log adds its own latency.
 */
final class LogAppendSlope implements Slope {

	private static final long RETENTION_MS = 1000;

	private static final int THREADS = 4;

	private static final int TURN_CHARACTERS = 2000;

	@Override
	public String name() {
		return "log";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		ExecutorService executor = Executors.newFixedThreadPool(THREADS);
		try (LogServer server = new LogServer(new LogOptions(0, RETENTION_MS), "127.0.0.1:0")) {
			server.start();
			HttpLogService log = new HttpLogService(server.address(), executor);
			Series bytes = Series.measure("log.append.bytes", "us", "bytes",
					new int[] { 1000, 10_000, 100_000, 500_000 }, (n) -> {
						byte[] data = new byte[n];
						return measure.elapsedUs(() -> log.append("bytes", data).join());
					});
			Series records = Series.measure("log.append.records", "us", "turn records", new int[] { 1, 10, 100 },
					(n) -> {
						LedgerBatch batch = batch(n);
						ProtobufLedgerCodec codec = new ProtobufLedgerCodec();
						return measure.elapsedUs(() -> log.append("records", codec.encode(batch)).join());
					});
			return List.of(bytes, records);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static LedgerBatch batch(int size) {
		List<LedgerRecord> records = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			records.add(Samples.turn(i, 1, TURN_CHARACTERS));
		}
		return new LedgerBatch("writer", 1, 0, records);
	}

}

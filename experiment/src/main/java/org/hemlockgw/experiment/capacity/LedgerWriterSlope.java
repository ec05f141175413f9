package org.hemlockgw.experiment.capacity;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.hemlockgw.core.common.Incarnation;
import org.hemlockgw.core.ledger.LedgerRecord.TurnCompleted;
import org.hemlockgw.daemon.ledger.LedgerSettings;
import org.hemlockgw.daemon.ledger.LedgerWriter;
import org.hemlockgw.remote.HttpLogService;
import org.hemlockgw.standins.log.LogOptions;
import org.hemlockgw.standins.log.LogServer;
import org.hemlockgw.wire.codec.ProtobufLedgerCodec;

/**
 * Appends a second by writers and batch interval, and the latency until a record is
 * durable. Each writer always has records to write.
 */
final class LedgerWriterSlope implements Slope {

	private static final int[] WRITERS = { 1, 4, 16 };

	private static final int[] INTERVALS_MS = { 5, 20, 50, 100 };

	private static final int OPEN_RECORDS = 8;

	private static final int TURN_CHARACTERS = 2000;

	private static final long RUN_MS = 500;

	private static final int THREADS = 24;

	@Override
	public String name() {
		return "writer";
	}

	@Override
	public List<Series> measure(Measure measure) throws Exception {
		run(WRITERS[WRITERS.length - 1], INTERVALS_MS[0]);
		List<Series> all = new ArrayList<>();
		for (int interval : new int[] { INTERVALS_MS[0], INTERVALS_MS[2] }) {
			all.add(Series.measure("writer.appends.writers.%dms".formatted(interval), "1/s", "writers", WRITERS,
					(n) -> run(n, interval).appendsPerS()));
		}
		all.add(Series.measure("writer.appends.interval", "1/s", "ms", INTERVALS_MS,
				(n) -> run(WRITERS[1], n).appendsPerS()));
		all.add(Series.measure("writer.durable.interval", "us", "ms", INTERVALS_MS,
				(n) -> run(WRITERS[1], n).durableUs()));
		return all;
	}

	private static Rates run(int writers, int intervalMs) throws InterruptedException {
		ExecutorService executor = Executors.newFixedThreadPool(THREADS);
		ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2);
		try (LogServer server = new LogServer(new LogOptions(0, 0), "127.0.0.1:0")) {
			server.start();
			CountingLog log = new CountingLog(new HttpLogService(server.address(), executor));
			Load load = new Load(new AtomicBoolean(true), new AtomicLong(), new AtomicLong());
			for (int i = 0; i < writers; i++) {
				LedgerWriter writer = new LedgerWriter(log, new ProtobufLedgerCodec(),
						new Incarnation("vm" + i, "i" + i),
						LedgerSettings.DEFAULT.withBatchInterval(Duration.ofMillis(intervalMs)), scheduler,
						InstantSource.system());
				writer.start();
				for (int k = 0; k < OPEN_RECORDS; k++) {
					load.write(writer, Samples.turn(i * OPEN_RECORDS + k, 1, TURN_CHARACTERS));
				}
			}
			Thread.sleep(RUN_MS / 2);
			long before = log.appends();
			long start = System.nanoTime();
			Thread.sleep(RUN_MS);
			double seconds = (System.nanoTime() - start) / 1e9;
			double rate = (log.appends() - before) / seconds;
			load.on.set(false);
			return new Rates(rate, load.sumNs.get() / 1000.0 / Math.max(1, load.count.get()));
		}
		finally {
			scheduler.shutdownNow();
			executor.shutdownNow();
		}
	}

	/**
	 * Result of one run.
	 *
	 * @param appendsPerS appends of all writers
	 * @param durableUs mean time from the call until the record is durable
	 */
	private record Rates(double appendsPerS, double durableUs) {
	}

	/**
	 * Writes a record again as soon as it is durable.
	 */
	private record Load(AtomicBoolean on, AtomicLong count, AtomicLong sumNs) {

		void write(LedgerWriter writer, TurnCompleted turn) {
			long start = System.nanoTime();
			writer.append(List.of(turn)).thenRun(() -> {
				this.count.incrementAndGet();
				this.sumNs.addAndGet(System.nanoTime() - start);
				if (this.on.get()) {
					write(writer, turn);
				}
			});
		}

	}

}

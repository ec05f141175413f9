package org.hemlockgw.daemon.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.hemlockgw.core.common.CallFailure;
import org.hemlockgw.core.common.ErrorCode;
import org.hemlockgw.core.platform.LogPage;
import org.hemlockgw.core.platform.LogRecord;
import org.hemlockgw.core.platform.LogService;

/**
 * In-memory log with faults: appends that are lost, delayed, applied twice or never
 * answered, and outages.
 */
public final class SimLog {

	private static final long MS = 1_000_000;

	private final Simulation simulation;

	private final Random random;

	private final Map<String, List<LogRecord>> streams = new HashMap<>();

	/** Share of calls with a fault. */
	public double faults;

	/** Whether every call is refused. */
	public boolean outage;

	public SimLog(Simulation simulation, long seed) {
		this.simulation = simulation;
		this.random = new Random(seed);
	}

	public List<LogRecord> records(String stream) {
		return this.streams.computeIfAbsent(stream, (name) -> new ArrayList<>());
	}

	public LogService client(SimProcess process) {
		return new Client(process);
	}

	private long latency() {
		return MS / 2 + this.random.nextInt((int) (3 * MS));
	}

	private long apply(String stream, byte[] data) {
		List<LogRecord> records = records(stream);
		records.add(new LogRecord(records.size(), this.simulation.instant(), data));
		return records.size() - 1;
	}

	private static CallFailure unavailable(boolean mayHaveRun) {
		return mayHaveRun ? CallFailure.mayHaveRun(ErrorCode.LOG_UNAVAILABLE, "no answer")
				: CallFailure.notRun(ErrorCode.LOG_UNAVAILABLE, "refused");
	}

	/**
	 * The log as one daemon sees it.
	 */
	private final class Client implements LogService {

		private final SimProcess process;

		private Client(SimProcess process) {
			this.process = process;
		}

		@Override
		public CompletableFuture<Long> append(String stream, byte[] data) {
			CompletableFuture<Long> answer = new CompletableFuture<>();
			boolean faulty = SimLog.this.random.nextDouble() < SimLog.this.faults;
			int fault = faulty ? SimLog.this.random.nextInt(6) : -1;
			SimLog.this.simulation.after(latency(), () -> arrive(stream, data, fault, answer));
			return answer;
		}

		private void arrive(String stream, byte[] data, int fault, CompletableFuture<Long> answer) {
			if (SimLog.this.outage || fault == 0) {
				fail(answer, unavailable(false));
				return;
			}
			switch (fault) {
				case 1 -> fail(answer, unavailable(true));
				case 2 -> {
					apply(stream, data);
					fail(answer, unavailable(true));
				}
				case 3 -> {
					fail(answer, unavailable(true));
					long late = SimLog.this.random.nextInt(8000) * MS;
					SimLog.this.simulation.after(late, () -> apply(stream, data));
				}
				case 4 -> {
					if (SimLog.this.random.nextBoolean()) {
						apply(stream, data);
					}
				}
				case 5 -> {
					long offset = apply(stream, data);
					long late = SimLog.this.random.nextInt(8000) * MS;
					SimLog.this.simulation.after(late, () -> apply(stream, data));
					answer(answer, offset);
				}
				default -> answer(answer, apply(stream, data));
			}
		}

		@Override
		public CompletableFuture<LogPage> read(String stream, long from, int max, Duration wait) {
			CompletableFuture<LogPage> answer = new CompletableFuture<>();
			boolean faulty = SimLog.this.random.nextDouble() < SimLog.this.faults / 2;
			long end = SimLog.this.simulation.instant().plus(wait).toEpochMilli();
			SimLog.this.simulation.after(latency(), () -> {
				if (faulty || SimLog.this.outage) {
					fail(answer, unavailable(true));
				}
				else {
					poll(stream, from, max, end, answer);
				}
			});
			return answer;
		}

		private void poll(String stream, long from, int max, long end, CompletableFuture<LogPage> answer) {
			List<LogRecord> records = records(stream);
			if (records.size() <= from && SimLog.this.simulation.instant().toEpochMilli() < end) {
				SimLog.this.simulation.after(10 * MS, () -> poll(stream, from, max, end, answer));
				return;
			}
			int first = (int) Math.min(from, records.size());
			int last = Math.min(records.size(), first + max);
			answer(answer, new LogPage(0, records.size(), List.copyOf(records.subList(first, last))));
		}

		private <T> void answer(CompletableFuture<T> answer, T value) {
			SimLog.this.simulation.after(latency(), () -> this.process.deliver(() -> answer.complete(value)));
		}

		private void fail(CompletableFuture<?> answer, CallFailure failure) {
			SimLog.this.simulation.after(latency(),
					() -> this.process.deliver(() -> answer.completeExceptionally(failure)));
		}

	}

}
